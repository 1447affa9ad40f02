#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "decide/peer_gossip.h"
}

namespace
{
uint64_t draw(void *ctx)
{
	return (*static_cast<std::mt19937_64 *>(ctx))();
}

// A fleet in equal failure domains. Each VM keeps the time of its newest news
// of every VM and sends all of them to the targets of its rounds.
class Fleet
{
      public:
	Fleet(uint32_t vms, uint32_t domain_count, double loss_share)
	    : n(vms), domains(domain_count), loss(loss_share),
	      seen(vms, std::vector<usec_t>(vms, 0)), alive(vms, true)
	{
	}

	void round()
	{
		now += peer_gossip_interval(n - 1);
		for (uint32_t from = 0; from < n; from++)
			if (alive[from])
				send(from);
	}

	// The number of pairs of live VMs of which one takes the other for
	// silent.
	uint32_t false_suspicions() const
	{
		uint32_t count = 0;
		for (uint32_t a = 0; a < n; a++)
			for (uint32_t b = 0; b < n; b++)
				count += alive[a] && alive[b] && a != b &&
					 is_silent(a, b);
		return count;
	}

	bool is_silent(uint32_t at, uint32_t vm) const
	{
		return now - seen[at][vm] > peer_gossip_timeout(n - 1);
	}

	uint32_t n;
	uint32_t domains;
	double loss;
	usec_t now = 0;
	uint64_t sent = 0;
	uint64_t sent_remote = 0;
	std::vector<std::vector<usec_t>> seen;
	std::vector<bool> alive;

      private:
	void send(uint32_t from)
	{
		auto local = std::make_unique<bool[]>(n - 1);
		std::vector<uint32_t> peer;
		std::vector<uint32_t> out(n - 1);
		for (uint32_t i = 0; i < n; i++)
			if (i != from) {
				local[peer.size()] =
					i % domains == from % domains;
				peer.push_back(i);
			}
		seen[from][from] = now;
		uint32_t picked = peer_gossip_pick(local.get(), n - 1, draw,
						   &random, out.data());
		for (uint32_t i = 0; i < picked; i++) {
			uint32_t to = peer[out[i]];
			sent++;
			sent_remote += to % domains != from % domains;
			if (!alive[to] || lost())
				continue;
			for (uint32_t vm = 0; vm < n; vm++)
				seen[to][vm] =
					std::max(seen[to][vm], seen[from][vm]);
		}
	}

	bool lost()
	{
		return std::uniform_real_distribution<>(0, 1)(random) < loss;
	}

	std::mt19937_64 random{ 1 };
};

TEST(PeerGossip, LiveVmsAreNotSuspectedAndDeadOnesAre)
{
	const struct {
		uint32_t vms;
		uint32_t domains;
		double loss;
	} cases[] = {
		{ 8, 3, 0.02 },	 { 17, 3, 0.02 },  { 68, 3, 0.05 },
		{ 83, 3, 0.05 }, { 195, 5, 0.05 }, { 300, 5, 0.02 },
	};
	for (const auto &c : cases) {
		Fleet fleet(c.vms, c.domains, c.loss);
		uint32_t suspicions = 0;
		for (int i = 0; i < 20; i++)
			fleet.round();
		for (int i = 0; i < 100; i++) {
			fleet.round();
			suspicions += fleet.false_suspicions();
		}
		EXPECT_EQ(suspicions, 0u) << c.vms << " VMs";

		fleet.alive[3] = false;
		usec_t died_at = fleet.now;
		while (fleet.now - died_at <=
		       2 * peer_gossip_timeout(c.vms - 1))
			fleet.round();
		for (uint32_t i = 0; i < c.vms; i++)
			if (i != 3) {
				EXPECT_TRUE(fleet.is_silent(i, 3))
					<< c.vms << " VMs, at " << i;
			}
	}
}

// The messages of a VM do not grow with the fleet, and few leave the domain.
TEST(PeerGossip, MessagesPerVm)
{
	for (uint32_t vms : { 30u, 100u, 300u, 1000u }) {
		Fleet fleet(vms, 5, 0);
		for (int i = 0; i < 3; i++)
			fleet.round();
		EXPECT_EQ(fleet.sent, 3ULL * vms * PEER_GOSSIP_TARGETS);
		EXPECT_EQ(fleet.sent_remote, 3ULL * vms * PEER_GOSSIP_REMOTE);
	}
}

TEST(PeerGossip, Targets)
{
	const struct {
		const char *name;
		uint32_t locals;
		uint32_t n;
		uint32_t picked;
		uint32_t picked_local;
	} cases[] = {
		{ "no peer", 0, 0, 0, 0 },
		{ "a small fleet: all", 5, 16, 16, 5 },
		{ "a large one", 10, 40, 4, 3 },
		{ "few in the domain: more of others", 1, 40, 4, 1 },
		{ "none in the domain", 0, 40, 4, 0 },
		{ "all in the domain", 40, 40, 3, 3 },
	};
	std::mt19937_64 random(7);
	for (const auto &c : cases) {
		bool local[40];
		uint32_t out[40];
		for (uint32_t i = 0; i < 40; i++)
			local[i] = i < c.locals;
		uint32_t n = peer_gossip_pick(local, c.n, draw, &random, out);
		ASSERT_EQ(n, c.picked) << c.name;
		uint32_t locals = 0;
		for (uint32_t i = 0; i < n; i++) {
			locals += local[out[i]];
			for (uint32_t j = 0; j < i; j++)
				EXPECT_NE(out[i], out[j]) << c.name;
		}
		EXPECT_EQ(locals, c.picked_local) << c.name;
	}
}

TEST(PeerGossip, TimeoutGrowsWithTheLogarithm)
{
	const struct {
		uint32_t peers;
		usec_t timeout;
	} cases[] = {
		{ 0, 600 * USEC_PER_MSEC },    { 16, 600 * USEC_PER_MSEC },
		{ 17, 2250 * USEC_PER_MSEC },  { 64, 2500 * USEC_PER_MSEC },
		{ 194, 3000 * USEC_PER_MSEC }, { 7400, 4250 * USEC_PER_MSEC },
	};
	for (const auto &c : cases)
		EXPECT_EQ(peer_gossip_timeout(c.peers), c.timeout) << c.peers;
}
} // namespace
