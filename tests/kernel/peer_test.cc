#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "kernel/kernel.h"
#include "kernel/peer.h"
#include "kernel/platform.h"
}

namespace
{
using Lines = std::vector<std::string>;

struct Peer : testing::Test {
	struct kernel k = {};
	Lines got;

	Peer()
	{
		k.peer = peer_create();
	}
	~Peer() override
	{
		peer_destroy(k.peer);
	}
	void handle(enum peer_type type)
	{
		peer_set_handler(
			&k, type,
			[](void *ctx, const char *from, uint64_t incarnation,
			   const void *body, size_t len) {
				static_cast<Peer *>(ctx)->got.push_back(
					std::string(from) + "/" +
					std::to_string(incarnation) + "/" +
					std::string((const char *)body, len));
			},
			this);
	}
};

TEST_F(Peer, DispatchesToTheHandlerOfTheType)
{
	handle(PEER_ESCROW);
	peer_dispatch(&k, PEER_ESCROW, "vm-2", 9, "abc", 3);
	peer_dispatch(&k, PEER_FORWARD, "vm-2", 9, "abc", 3);
	peer_dispatch(&k, PEER_ESCROW, "vm-3", 1, nullptr, 0);
	EXPECT_EQ(got, (Lines{ "vm-2/9/abc", "vm-3/1/" }));
}

TEST_F(Peer, SendsOnlyWithAPlugInAndWithinTheSizeLimit)
{
	std::string big(PEER_BODY_MAX_BYTES + 1, 'b');
	peer_send(&k, "vm-2", PEER_ESCROW, "lost", 4);
	k.peer->ctx = this;
	k.peer->send = [](void *ctx, const char *to, enum peer_type type,
			  const void *, size_t len) {
		static_cast<Peer *>(ctx)->got.push_back(
			std::string(to) + "/" + std::to_string(type) + "/" +
			std::to_string(len));
	};
	peer_send(&k, "vm-2", PEER_ESCROW, "x", 1);
	peer_send(&k, "vm-2", PEER_ESCROW, big.data(), big.size() - 1);
	peer_send(&k, "vm-2", PEER_ESCROW, big.data(), big.size());
	EXPECT_EQ(got,
		  (Lines{ "vm-2/3/1",
			  "vm-2/3/" + std::to_string(PEER_BODY_MAX_BYTES) }));
}

TEST(Platform, CallsFailAsDownWithoutAPlugIn)
{
	struct kernel k = {};
	struct platform_call c = {};
	int done = 0;
	c.ctx = &done;
	c.result = PLATFORM_OK;
	c.done = [](struct platform_call *call) {
		++*static_cast<int *>(call->ctx);
	};
	platform_submit(&k, &c);
	EXPECT_EQ(done, 1);
	EXPECT_EQ(c.result, PLATFORM_DOWN);
	EXPECT_EQ(c.error.code, ERR_PLATFORM);
	EXPECT_FALSE(platform_is_up(&k));
}
} // namespace
