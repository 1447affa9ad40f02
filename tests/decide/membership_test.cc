#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "decide/conn_owner.h"
#include "decide/membership.h"
}

namespace
{
using Membership =
	std::unique_ptr<struct membership, void (*)(struct membership *)>;

struct member vm(int i, uint64_t incarnation = 1)
{
	struct member m = {};
	snprintf(m.name, sizeof(m.name), "vm%d", i);
	snprintf(m.domain, sizeof(m.domain), "%c", 'a' + i % 3);
	m.incarnation = incarnation;
	return m;
}

Membership fleet(int n)
{
	struct member self = vm(0);
	Membership m(membership_create(&self), membership_destroy);
	membership_list_begin(m.get());
	for (int i = 0; i < n; i++) {
		struct member v = vm(i);
		membership_list_add(m.get(), &v);
	}
	membership_list_end(m.get(), 1);
	return m;
}

void list(struct membership *m, const std::vector<struct member> &vms,
	  usec_t now)
{
	membership_list_begin(m);
	for (const auto &v : vms)
		membership_list_add(m, &v);
	membership_list_end(m, now);
}

bool alive(struct membership *m, const char *name)
{
	vm_handle h = membership_find(m, name);
	return h != HANDLE_NONE && membership_is_alive(m, h);
}

TEST(Membership, GoneNeedsProof)
{
	const usec_t after = 1000;
	Membership m = fleet(3);
	EXPECT_FALSE(membership_is_gone(m.get(), "vm1", 1, 1, after));
	membership_on_timeout(m.get(), "vm1", 1);
	EXPECT_FALSE(alive(m.get(), "vm1"));
	EXPECT_FALSE(membership_is_gone(m.get(), "vm1", 1, 99999, after))
		<< "a timeout proves nothing";
	list(m.get(), { vm(0), vm(2) }, 10);
	EXPECT_FALSE(membership_is_gone(m.get(), "vm1", 1, 1009, after));
	EXPECT_TRUE(membership_is_gone(m.get(), "vm1", 1, 1010, after));
	list(m.get(), { vm(0), vm(1), vm(2) }, 1011);
	EXPECT_FALSE(membership_is_gone(m.get(), "vm1", 1, 5000, after))
		<< "on a list again";
	EXPECT_TRUE(membership_on_message(m.get(), "vm2", 2, 20));
	EXPECT_TRUE(membership_is_gone(m.get(), "vm2", 1, 20, after))
		<< "a later incarnation";
	EXPECT_FALSE(membership_is_gone(m.get(), "vm9", 1, 20, after))
		<< "unknown";
}

TEST(Membership, RestartedVmIsNew)
{
	Membership m = fleet(2);
	struct member v2 = vm(1, 5);
	list(m.get(), { vm(0), v2 }, 2);
	EXPECT_FALSE(membership_on_message(m.get(), "vm1", 1, 3))
		<< "earlier incarnation";
	list(m.get(), { vm(0), vm(1, 1) }, 4);
	EXPECT_EQ(membership_get(m.get(), membership_find(m.get(), "vm1"))
			  ->incarnation,
		  5u)
		<< "the list lags";
	EXPECT_FALSE(membership_on_message(m.get(), "vm0", 9, 3))
		<< "not this VM";
}

TEST(Membership, SuspicionIsRefutedByTheVmItself)
{
	Membership a = fleet(3);
	struct member self = vm(1);
	Membership b(membership_create(&self), membership_destroy);
	struct member_update out[8];
	membership_on_timeout(a.get(), "vm1", 1);
	size_t n = membership_pick_updates(a.get(), out, 8);
	bool was_updated = false;
	for (size_t i = 0; i < n; i++) {
		if (std::string(out[i].member.name) == "vm1")
			was_updated =
				membership_apply_update(b.get(), &out[i], 5);
	}
	EXPECT_TRUE(was_updated);
	n = membership_pick_updates(b.get(), out, 8);
	for (size_t i = 0; i < n; i++)
		membership_apply_update(a.get(), &out[i], 6);
	EXPECT_TRUE(alive(a.get(), "vm1"));
}

TEST(Membership, DepartureAndListChangesAreGossiped)
{
	Membership a = fleet(4);
	Membership b = fleet(4);
	struct member_update out[16];
	list(a.get(), { vm(0), vm(1), vm(2) }, 10);
	struct member d = vm(2);
	d.departing = true;
	list(a.get(), { vm(0), vm(1), d }, 11);
	size_t n = membership_pick_updates(a.get(), out, 16);
	for (size_t i = 0; i < n; i++)
		membership_apply_update(b.get(), &out[i], 12);
	EXPECT_FALSE(alive(b.get(), "vm2"));
	EXPECT_FALSE(alive(b.get(), "vm3"));
	EXPECT_TRUE(membership_is_gone(b.get(), "vm3", 1, 112, 100));
	membership_expire(b.get(), 300, 100);
	EXPECT_EQ(membership_find(b.get(), "vm3"), HANDLE_NONE);
}

TEST(Membership, KnowsWhetherItIsListed)
{
	const usec_t s = USEC_PER_SEC;
	struct member self = vm(0);
	Membership m(membership_create(&self), membership_destroy);
	EXPECT_FALSE(membership_is_self_listed(m.get())) << "no list yet";
	list(m.get(), { vm(1) }, s);
	EXPECT_FALSE(membership_is_self_listed(m.get()))
		<< "not on the list yet";
	struct member_update on = { vm(0), true, false };
	struct member_update off = { vm(0), false, true };
	EXPECT_TRUE(membership_apply_update(m.get(), &on, 2 * s));
	EXPECT_TRUE(membership_is_self_listed(m.get()));
	EXPECT_TRUE(membership_apply_update(m.get(), &off, 3 * s));
	EXPECT_FALSE(membership_apply_update(m.get(), &on, 4 * s))
		<< "may be older";
	EXPECT_FALSE(membership_is_self_listed(m.get()));
	EXPECT_TRUE(membership_apply_update(m.get(), &on, 14 * s));
	EXPECT_TRUE(membership_is_self_listed(m.get()));
	struct member_update fresh = { vm(5), false, false };
	membership_apply_update(m.get(), &fresh, 15 * s);
	list(m.get(), { vm(0) }, 16 * s);
	EXPECT_TRUE(alive(m.get(), "vm5")) << "may not be listed yet";
	list(m.get(), { vm(0) }, 90 * s);
	EXPECT_FALSE(alive(m.get(), "vm5"));
}

TEST(Membership, GossipIsBoundedAndEnds)
{
	Membership m = fleet(100);
	struct member_update out[8];
	int rounds = 0;
	while (membership_pick_updates(m.get(), out, 8) > 0)
		rounds++;
	EXPECT_LT(rounds, 400);
	membership_on_timeout(m.get(), "vm7", 1);
	ASSERT_EQ(membership_pick_updates(m.get(), out, 8), 1u);
	EXPECT_STREQ(out[0].member.name, "vm7");
}

TEST(Membership, RanksAreAnOrderAndStable)
{
	Membership m = fleet(9);
	for (int k = 0; k < 50; k++) {
		std::string key = "key" + std::to_string(k);
		vm_handle top[9];
		ASSERT_EQ(membership_top_ranked(m.get(), key.c_str(), top, 9),
			  9u);
		for (uint32_t i = 0; i < 9; i++)
			EXPECT_EQ(membership_rank(m.get(), key.c_str(), top[i]),
				  i);
		vm_handle first;
		ASSERT_EQ(
			membership_top_ranked(m.get(), key.c_str(), &first, 1),
			1u);
		EXPECT_EQ(first, top[0]);
		if (top[8] != 0) {
			membership_on_timeout(
				m.get(), membership_get(m.get(), top[8])->name,
				1);
			membership_top_ranked(m.get(), key.c_str(), &first, 1);
			EXPECT_EQ(first, top[0]) << "another VM's failure";
			membership_on_message(
				m.get(), membership_get(m.get(), top[8])->name,
				1, 9);
		}
	}
}

TEST(Membership, WatchersPerDomain)
{
	for (uint32_t per = 1; per <= 3; per++) {
		std::map<std::string, uint32_t> watchers;
		for (int i = 0; i < 12; i++) {
			struct member self = vm(i);
			Membership m(membership_create(&self),
				     membership_destroy);
			membership_list_begin(m.get());
			for (int j = 0; j < 12; j++) {
				struct member v = vm(j);
				membership_list_add(m.get(), &v);
			}
			membership_list_end(m.get(), 1);
			if (membership_is_watcher(m.get(), per))
				watchers[self.domain]++;
		}
		EXPECT_EQ(watchers.size(), 3u);
		for (const auto &w : watchers)
			EXPECT_EQ(w.second, per);
	}
}

TEST(ConnOwner, AreInAllDomainsAndLocalIsPreferred)
{
	Membership m = fleet(12);
	for (int s = 0; s < 20; s++) {
		std::string service = "s" + std::to_string(s);
		vm_handle out[CONN_OWNERS_MAX];
		ASSERT_EQ(conn_owner_pick(m.get(), service.c_str(), 6, out,
					  CONN_OWNERS_MAX),
			  6u);
		std::map<std::string, int> per;
		std::set<vm_handle> distinct(out, out + 6);
		for (int i = 0; i < 6; i++)
			per[membership_get(m.get(), out[i])->domain]++;
		EXPECT_EQ(distinct.size(), 6u);
		for (const auto &p : per)
			EXPECT_EQ(p.second, 2);
		vm_handle to = HANDLE_NONE;
		bool own = distinct.count(0) == 1;
		EXPECT_EQ(
			conn_owner_choose(m.get(), service.c_str(), 6, 77, &to),
			own ? CONN_OWNER_DIRECT : CONN_OWNER_FORWARD);
		if (!own) {
			EXPECT_STREQ(membership_get(m.get(), to)->domain, "a");
		}
	}
}

TEST(ConnOwner, Counts)
{
	EXPECT_EQ(conn_owner_count(40, 4, 9), 9u);
	EXPECT_EQ(conn_owner_count(40, 4, 7400), 10u);
	EXPECT_EQ(conn_owner_count(3, 4, 7400), 1u);
	EXPECT_EQ(conn_owner_count(1000, 1, 7400), (uint32_t)CONN_OWNERS_MAX);
}
} // namespace
