#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/spread.h"
}

namespace
{
size_t hundred(void *, const char *)
{
	return 100;
}

struct Vm {
	struct spread *s = spread_create();
	std::map<std::string, uint64_t> objects;
	~Vm()
	{
		spread_destroy(s);
	}
	void seen(const std::string &name, uint64_t version, uint64_t revision)
	{
		ASSERT_TRUE(spread_seen(s, name.c_str(), version, revision));
		if (objects[name] < version)
			objects[name] = version;
	}
	// Sends requests to a peer until this VM has everything that the peer
	// has; returns the bytes of the objects received.
	size_t pull(const Vm &peer, size_t max, size_t bytes)
	{
		struct spread_ask ask;
		struct spread_cursor cur = {};
		size_t sent = 0;
		spread_ask_fill(s, 1, &ask);
		for (int i = 0; i < 1000; i++) {
			std::vector<struct spread_object> out(max);
			size_t n = spread_answer(peer.s, &ask, out.data(), max,
						 bytes, hundred, nullptr, &cur);
			for (size_t j = 0; j < n; j++)
				seen(out[j].name, out[j].version,
				     out[j].revision);
			sent += n * 100;
			if (cur.is_last)
				spread_complete_to(s, cur.complete_to);
			if (cur.is_up_to_date)
				return sent;
			spread_ask_fill(s, 1, &ask);
			ask.cursor = cur;
		}
		ADD_FAILURE() << "never up to date";
		return sent;
	}
};

TEST(AntiEntropy, JoiningVmGetsAllFromAPeerInSeveralResponses)
{
	Vm a;
	Vm b;
	for (int i = 0; i < 500; i++)
		a.seen("o" + std::to_string(i), 1 + i % 3, 40);
	spread_complete_to(a.s, 40);
	EXPECT_EQ(b.pull(a, 16, 1000), 50000u);
	EXPECT_EQ(b.objects, a.objects);
	EXPECT_EQ(spread_complete(b.s), 40u);
	EXPECT_EQ(b.pull(a, 16, 1000), 0u) << "nothing is missing";
	a.seen("o3", 9, 41);
	spread_complete_to(a.s, 41);
	EXPECT_EQ(b.pull(a, 16, 1000), 100u) << "only the change";
	EXPECT_EQ(b.objects, a.objects);
}

TEST(AntiEntropy, AcceptedWriteIsSentBeforeItHasARevision)
{
	Vm a;
	Vm b;
	a.seen("x", 1, 5);
	spread_complete_to(a.s, 5);
	b.pull(a, 8, 1000);
	a.seen("x", 2, 0);
	EXPECT_EQ(b.pull(a, 8, 1000), 100u);
	EXPECT_EQ(b.objects["x"], 2u);
	EXPECT_EQ(b.pull(a, 8, 1000), 0u) << "listed in the question";
	struct spread_ask ask;
	spread_ask_fill(b.s, 1, &ask);
	EXPECT_TRUE(spread_has(a.s, &ask));
	Vm c;
	EXPECT_FALSE(spread_has(c.s, &ask));
	a.seen("x", 2, 6);
	spread_complete_to(a.s, 6);
	b.pull(a, 8, 1000);
	spread_ask_fill(b.s, 1, &ask);
	EXPECT_EQ(ask.n, 0u);
}

// Two VMs watch and see random batches, and all VMs query random peers. A VM
// that is complete to a revision has all objects up to it, at any time.
TEST(AntiEntropy, CompleteVmLacksNothing)
{
	for (unsigned seed = 0; seed < 200; seed++) {
		std::mt19937 rng(seed);
		std::vector<Vm> vms(5);
		std::vector<std::pair<std::string, uint64_t>> log;
		std::map<std::string, uint64_t> truth;
		for (int step = 0; step < 120; step++) {
			std::string o = "o" + std::to_string(rng() % 12);
			if (rng() % 2) {
				truth[o]++;
				log.emplace_back(o, truth[o]);
				if (rng() % 3 == 0)
					vms[rng() % 5].seen(o, truth[o], 0);
			}
			Vm &w = vms[rng() % 2];
			if (rng() % 2) {
				uint64_t from = spread_complete(w.s);
				for (uint64_t r = from; r < log.size(); r++)
					w.seen(log[r].first, log[r].second,
					       log.size());
				spread_complete_to(w.s, log.size());
			}
			size_t i = rng() % 5;
			size_t j = rng() % 5;
			if (i != j)
				vms[i].pull(vms[j], 1 + rng() % 4, 250);
			for (auto &v : vms) {
				std::map<std::string, uint64_t> want;
				for (uint64_t r = 0; r < spread_complete(v.s);
				     r++)
					want[log[r].first] = log[r].second;
				for (const auto &x : want)
					ASSERT_GE(v.objects[x.first], x.second)
						<< seed;
			}
		}
	}
}

TEST(AntiEntropy, AcceptanceNeedsAnotherDomain)
{
	struct member self = {};
	snprintf(self.name, sizeof(self.name), "v0");
	snprintf(self.domain, sizeof(self.domain), "a");
	struct members *m = members_create(&self);
	struct spread_acceptance a;
	spread_acceptance_init(&a, m, 1000);
	EXPECT_TRUE(a.accepted) << "alone in the fleet";
	members_list_begin(m);
	members_list_add(m, &self);
	struct member v = self;
	snprintf(v.name, sizeof(v.name), "v1");
	members_list_add(m, &v);
	spread_acceptance_init(&a, m, 1000);
	EXPECT_FALSE(a.accepted);
	EXPECT_TRUE(spread_acceptance_heard(&a, "a")) << "only one domain";
	snprintf(v.name, sizeof(v.name), "v2");
	snprintf(v.domain, sizeof(v.domain), "b");
	members_list_add(m, &v);
	members_list_end(m, 1);
	spread_acceptance_init(&a, m, 1000);
	EXPECT_FALSE(spread_acceptance_heard(&a, "a"));
	EXPECT_TRUE(spread_acceptance_heard(&a, "b"));

	const uint64_t random[] = { 1, 2, 3 };
	vm_handle out[3];
	ASSERT_EQ(spread_peers(m, random, 3, out, 3), 2u);
	EXPECT_STREQ(members_at(m, out[0])->domain, "b");
	EXPECT_NE(out[0], out[1]);
	members_destroy(m);
}

// A lagging list may lack live VMs, so acceptance must not treat a VM as gone
// just because it is missing from the list.
TEST(AntiEntropy, AcceptanceCountsVmsMissingFromALaggingList)
{
	const usec_t second = USEC_PER_SEC;
	struct member self = {}, v = {};
	snprintf(self.name, sizeof(self.name), "v0");
	snprintf(self.domain, sizeof(self.domain), "a");
	snprintf(v.name, sizeof(v.name), "v1");
	snprintf(v.domain, sizeof(v.domain), "b");
	v.incarnation = 5;
	struct members *m = members_create(&self);
	struct spread_acceptance a;
	members_list_begin(m);
	members_list_add(m, &v);
	members_list_end(m, second);
	members_list_begin(m);
	members_list_end(m, 2 * second);
	vm_handle h = members_find(m, "v1");
	EXPECT_FALSE(members_alive(m, h));
	spread_acceptance_init(&a, m, 3 * second);
	EXPECT_FALSE(a.accepted);
	EXPECT_TRUE(a.need_domain);
	// Heard from since then: alive, regardless of the list.
	EXPECT_TRUE(members_heard(m, "v1", 5, 4 * second));
	EXPECT_TRUE(members_alive(m, h));
	spread_acceptance_init(&a, m, 100 * second);
	EXPECT_FALSE(a.accepted);
	members_destroy(m);
	// Off the list and silent for 30 seconds: not waited for.
	m = members_create(&self);
	members_list_begin(m);
	members_list_add(m, &v);
	members_list_end(m, second);
	members_list_begin(m);
	members_list_end(m, 2 * second);
	spread_acceptance_init(&a, m, 31 * second);
	EXPECT_FALSE(a.accepted);
	spread_acceptance_init(&a, m, 32 * second);
	EXPECT_TRUE(a.accepted);
	members_destroy(m);
}
} // namespace
