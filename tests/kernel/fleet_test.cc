#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

extern "C" {
#include "kernel/fleet.h"
#include "kernel/fleet_internal.h"
#include "kernel/kernel.h"
}

namespace
{
struct Fleet : testing::Test {
	struct kernel k = {};

	Fleet()
	{
		snprintf(k.settings.vm, NAME_MAX_BYTES, "vm-0");
		snprintf(k.settings.domain, NAME_MAX_BYTES, "a");
		snprintf(k.settings.peer_listen, ADDR_MAX_BYTES, "10.0.0.1:7");
		k.settings.keys_fresh_ms = 3000;
		k.incarnation = 100;
		k.fleet = fleet_create(&k);
	}
	~Fleet() override
	{
		fleet_destroy(k.fleet);
	}
	void list(const std::map<std::string, std::string> &domains,
		  uint64_t incarnation = 5)
	{
		struct membership *m = k.fleet->members;
		membership_list_begin(m);
		for (const auto &d : domains) {
			struct member vm = {};
			snprintf(vm.name, sizeof(vm.name), "%s",
				 d.first.c_str());
			snprintf(vm.domain, sizeof(vm.domain), "%s",
				 d.second.c_str());
			vm.incarnation = incarnation;
			membership_list_add(m, &vm);
		}
		membership_list_end(m, 1000);
	}
};

TEST_F(Fleet, KnowsOnlyItselfAtFirst)
{
	struct fleet_vm vm;
	EXPECT_EQ(fleet_size(&k), 1u);
	ASSERT_TRUE(fleet_find(&k, "vm-0", &vm));
	EXPECT_STREQ(vm.domain, "a");
	EXPECT_STREQ(vm.peer_address, "10.0.0.1:7");
	EXPECT_EQ(vm.incarnation, 100u);
	EXPECT_TRUE(vm.alive);
	EXPECT_EQ(fleet_rank(&k, "groups/x"), 0u);
	EXPECT_FALSE(fleet_find(&k, "vm-9", &vm));
}

TEST_F(Fleet, SamplesOtherLiveVmsUniformly)
{
	list({ { "vm-0", "a" },
	       { "vm-1", "a" },
	       { "vm-2", "b" },
	       { "vm-3", "c" },
	       { "vm-4", "c" } });
	membership_on_timeout(k.fleet->members, "vm-4", 5);
	const struct {
		size_t n;
		const char *not_domain;
		size_t got;
		std::set<std::string> from;
	} cases[] = {
		{ 9, nullptr, 3, { "vm-1", "vm-2", "vm-3" } },
		{ 2, nullptr, 2, { "vm-1", "vm-2", "vm-3" } },
		{ 9, "a", 2, { "vm-2", "vm-3" } },
		{ 0, nullptr, 0, {} },
	};
	for (const auto &c : cases) {
		struct fleet_vm out[9];
		size_t n = fleet_sample(&k, c.n, c.not_domain, out);
		std::set<std::string> names;
		EXPECT_EQ(n, c.got);
		for (size_t i = 0; i < n; i++) {
			EXPECT_TRUE(c.from.count(out[i].name)) << out[i].name;
			names.insert(out[i].name);
		}
		EXPECT_EQ(names.size(), n) << "a VM was sampled twice";
	}
	// 3000 samples of one VM out of three give each about 1000; 800 is more
	// than seven standard deviations below.
	std::map<std::string, int> counts;
	for (int i = 0; i < 3000; i++) {
		struct fleet_vm vm;
		ASSERT_EQ(fleet_sample(&k, 1, nullptr, &vm), 1u);
		counts[vm.name]++;
	}
	for (const auto &c : counts)
		EXPECT_GT(c.second, 800) << c.first;
}

TEST_F(Fleet, RejectsAnEarlierIncarnation)
{
	list({ { "vm-0", "a" }, { "vm-1", "b" } }, 50);
	EXPECT_TRUE(fleet_note_message(&k, "vm-1", 50, 2000));
	EXPECT_FALSE(fleet_note_message(&k, "vm-1", 49, 2000));
	EXPECT_TRUE(fleet_note_message(&k, "vm-1", 51, 2000));
	EXPECT_FALSE(fleet_note_message(&k, "vm-1", 50, 2000));
	EXPECT_TRUE(fleet_incarnation_ended(&k, "vm-1", 50, 2000, 1000));
	EXPECT_FALSE(fleet_incarnation_ended(&k, "vm-1", 51, 2000, 1000));
	// A VM that is not known yet is accepted; gossip will identify it.
	EXPECT_TRUE(fleet_note_message(&k, "vm-9", 1, 2000));
}

TEST_F(Fleet, TopAndRankAgree)
{
	list({ { "vm-0", "a" }, { "vm-1", "a" }, { "vm-2", "b" } });
	struct fleet_vm top[3];
	ASSERT_EQ(fleet_top_ranked(&k, "groups/quotes", top, 3), 3u);
	EXPECT_STREQ(top[fleet_rank(&k, "groups/quotes")].name, "vm-0");
}

TEST_F(Fleet, FreshnessExpiresWithoutPlatformData)
{
	usec_t now = 10 * USEC_PER_SEC;
	EXPECT_EQ(fleet_freshness(&k, now), FRESH_LAPSED);
	EXPECT_EQ(fleet_platform_data_age(&k, now), -1);
	freshness_on_platform_contact(&k.fleet->fresh, now);
	EXPECT_EQ(fleet_freshness(&k, now + 3000000), FRESH);
	EXPECT_EQ(fleet_platform_data_age(&k, now + 3000000), 3000000);
	// Without other VMs, old data means that the platform is down. With
	// others, this VM may be the one that is disconnected.
	EXPECT_EQ(fleet_freshness(&k, now + 3000001), FRESH_OUTAGE);
	list({ { "vm-0", "a" }, { "vm-1", "b" } });
	EXPECT_EQ(fleet_freshness(&k, now + 3000001), FRESH_LAPSED);
}
} // namespace
