#include <gtest/gtest.h>

extern "C" {
#include "decide/conn_evict.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

// Guards against teams that take each other's connections in turn, so that a
// database under load spends its slots on handshakes, and against a team that
// never gets a connection.
TEST(ConnEvict, MoreTeamsThanConnections)
{
	const struct {
		const char *name;
		struct conn_evict_view view;
		bool is_worthwhile;
	} cases[] = {
		{ "team without a connection", { false, 0, 15 * kMs }, true },
		{ "own one busy, the other just used",
		  { true, 0, 15 * kMs },
		  false },
		{ "own one busy, the other used a few statements ago",
		  { true, 200 * kMs, 15 * kMs },
		  false },
		{ "own one busy, the other unused for long",
		  { true, 480 * kMs, 15 * kMs },
		  true },
		{ "short statements", { true, 32 * kMs, 1 * kMs }, true },
		{ "long statements",
		  { true, 3 * USEC_PER_SEC, 200 * kMs },
		  false },
		{ "long statements, unused for long",
		  { true, 7 * USEC_PER_SEC, 200 * kMs },
		  true },
	};
	for (const auto &c : cases)
		EXPECT_EQ(conn_evict_is_worthwhile(&c.view), c.is_worthwhile)
			<< c.name;
}
} // namespace
