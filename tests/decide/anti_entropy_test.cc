#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "decide/anti_entropy.h"
}

namespace
{
size_t hundred(void *, const char *)
{
	return 100;
}

struct Vm {
	struct anti_entropy *s = anti_entropy_create();
	std::map<std::string, uint64_t> objects;
	~Vm()
	{
		anti_entropy_destroy(s);
	}
	void seen(const std::string &name, uint64_t version, uint64_t revision)
	{
		ASSERT_TRUE(anti_entropy_record(s, name.c_str(), version,
						revision));
		if (objects[name] < version)
			objects[name] = version;
	}
	// Sends requests to a peer until this VM has everything that the peer
	// has; returns the bytes of the objects received.
	size_t pull(const Vm &peer, size_t max, size_t bytes)
	{
		struct anti_entropy_request ask;
		struct anti_entropy_cursor cur = {};
		size_t received_bytes = 0;
		anti_entropy_fill_request(s, 1, &ask);
		for (int i = 0; i < 1000; i++) {
			std::vector<struct anti_entropy_object> out(max);
			size_t n = anti_entropy_respond(peer.s, &ask,
							out.data(), max, bytes,
							hundred, nullptr, &cur);
			for (size_t j = 0; j < n; j++)
				seen(out[j].name, out[j].version,
				     out[j].revision);
			received_bytes += n * 100;
			if (cur.is_last)
				anti_entropy_set_complete(s, cur.complete_to);
			if (cur.is_up_to_date)
				return received_bytes;
			anti_entropy_fill_request(s, 1, &ask);
			ask.cursor = cur;
		}
		ADD_FAILURE() << "never up to date";
		return received_bytes;
	}
};

TEST(AntiEntropy, JoiningVmGetsAllFromAPeerInSeveralResponses)
{
	Vm a;
	Vm b;
	for (int i = 0; i < 500; i++)
		a.seen("o" + std::to_string(i), 1 + i % 3, 40);
	anti_entropy_set_complete(a.s, 40);
	EXPECT_EQ(b.pull(a, 16, 1000), 50000u);
	EXPECT_EQ(b.objects, a.objects);
	EXPECT_EQ(anti_entropy_complete(b.s), 40u);
	EXPECT_EQ(b.pull(a, 16, 1000), 0u) << "nothing is missing";
	a.seen("o3", 9, 41);
	anti_entropy_set_complete(a.s, 41);
	EXPECT_EQ(b.pull(a, 16, 1000), 100u) << "only the change";
	EXPECT_EQ(b.objects, a.objects);
}

TEST(AntiEntropy, AcceptedWriteIsSentBeforeItHasARevision)
{
	Vm a;
	Vm b;
	a.seen("x", 1, 5);
	anti_entropy_set_complete(a.s, 5);
	b.pull(a, 8, 1000);
	a.seen("x", 2, 0);
	EXPECT_EQ(b.pull(a, 8, 1000), 100u);
	EXPECT_EQ(b.objects["x"], 2u);
	EXPECT_EQ(b.pull(a, 8, 1000), 0u) << "listed in the question";
	struct anti_entropy_request ask;
	anti_entropy_fill_request(b.s, 1, &ask);
	EXPECT_TRUE(anti_entropy_has_all(a.s, &ask));
	Vm c;
	EXPECT_FALSE(anti_entropy_has_all(c.s, &ask));
	a.seen("x", 2, 6);
	anti_entropy_set_complete(a.s, 6);
	b.pull(a, 8, 1000);
	anti_entropy_fill_request(b.s, 1, &ask);
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
				uint64_t from = anti_entropy_complete(w.s);
				for (uint64_t r = from; r < log.size(); r++)
					w.seen(log[r].first, log[r].second,
					       log.size());
				anti_entropy_set_complete(w.s, log.size());
			}
			size_t i = rng() % 5;
			size_t j = rng() % 5;
			if (i != j)
				vms[i].pull(vms[j], 1 + rng() % 4, 250);
			for (auto &v : vms) {
				std::map<std::string, uint64_t> want;
				for (uint64_t r = 0;
				     r < anti_entropy_complete(v.s); r++)
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
	struct membership *m = membership_create(&self);
	struct write_acceptance a;
	write_acceptance_init(&a, m, 1000);
	EXPECT_TRUE(a.accepted) << "alone in the fleet";
	membership_list_begin(m);
	membership_list_add(m, &self);
	struct member v = self;
	snprintf(v.name, sizeof(v.name), "v1");
	membership_list_add(m, &v);
	write_acceptance_init(&a, m, 1000);
	EXPECT_FALSE(a.accepted);
	EXPECT_TRUE(write_acceptance_on_ack(&a, "a")) << "only one domain";
	snprintf(v.name, sizeof(v.name), "v2");
	snprintf(v.domain, sizeof(v.domain), "b");
	membership_list_add(m, &v);
	membership_list_end(m, 1);
	write_acceptance_init(&a, m, 1000);
	EXPECT_FALSE(write_acceptance_on_ack(&a, "a"));
	EXPECT_TRUE(write_acceptance_on_ack(&a, "b"));

	const uint64_t random[] = { 1, 2, 3 };
	vm_handle out[3];
	ASSERT_EQ(anti_entropy_pick_peers(m, random, 3, out, 3), 2u);
	EXPECT_STREQ(membership_get(m, out[0])->domain, "b");
	EXPECT_NE(out[0], out[1]);
	membership_destroy(m);
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
	struct membership *m = membership_create(&self);
	struct write_acceptance a;
	membership_list_begin(m);
	membership_list_add(m, &v);
	membership_list_end(m, second);
	membership_list_begin(m);
	membership_list_end(m, 2 * second);
	vm_handle h = membership_find(m, "v1");
	EXPECT_FALSE(membership_is_alive(m, h));
	write_acceptance_init(&a, m, 3 * second);
	EXPECT_FALSE(a.accepted);
	EXPECT_TRUE(a.need_domain);
	// Heard from since then: alive, regardless of the list.
	EXPECT_TRUE(membership_on_message(m, "v1", 5, 4 * second));
	EXPECT_TRUE(membership_is_alive(m, h));
	write_acceptance_init(&a, m, 100 * second);
	EXPECT_FALSE(a.accepted);
	membership_destroy(m);
	// Off the list and silent for 30 seconds: not waited for.
	m = membership_create(&self);
	membership_list_begin(m);
	membership_list_add(m, &v);
	membership_list_end(m, second);
	membership_list_begin(m);
	membership_list_end(m, 2 * second);
	write_acceptance_init(&a, m, 31 * second);
	EXPECT_FALSE(a.accepted);
	write_acceptance_init(&a, m, 32 * second);
	EXPECT_TRUE(a.accepted);
	membership_destroy(m);
}
} // namespace
