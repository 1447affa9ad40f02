#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "decide/db_owner.h"
}

namespace
{
// VMs "vm0", "vm1", ... in three failure domains in turn.
class Fleet
{
      public:
	explicit Fleet(uint32_t n, uint32_t capacity = 250)
	{
		for (uint32_t i = 0; i < n; i++)
			names.push_back("vm" + std::to_string(i));
		for (uint32_t i = 0; i < n; i++)
			vm.push_back({ .name = names[i].c_str(),
				       .domain = kDomains[i % 3],
				       .capacity = capacity,
				       .usable = true });
	}

	uint32_t owner(uint32_t database, const char *domain) const
	{
		std::string id = "db" + std::to_string(database);
		return db_owner_pick(vm.data(), (uint32_t)vm.size(), id.c_str(),
				     domain);
	}

	static constexpr const char *kDomains[] = { "a", "b", "c" };
	std::vector<std::string> names;
	std::vector<struct db_owner_vm> vm;
};

TEST(DbOwner, Choice)
{
	const struct {
		const char *name;
		std::vector<uint32_t> unusable;
		const char *domain;
		const char *owner_domain; // "": any; "-": no owner
	} cases[] = {
		{ "a VM of the database's domain", {}, "b", "b" },
		{ "none is usable there: another domain", { 1, 4 }, "b", "" },
		{ "an unknown domain: any VM", {}, "x", "" },
		{ "none is usable", { 0, 1, 2, 3, 4, 5 }, "a", "-" },
	};
	for (const auto &c : cases) {
		Fleet fleet(6);
		for (uint32_t i : c.unusable)
			fleet.vm[i].usable = false;
		for (uint32_t db = 0; db < 50; db++) {
			uint32_t owner = fleet.owner(db, c.domain);
			if (std::string(c.owner_domain) == "-") {
				EXPECT_EQ(owner, DB_OWNER_NONE) << c.name;
				continue;
			}
			ASSERT_LT(owner, 6u) << c.name;
			EXPECT_TRUE(fleet.vm[owner].usable) << c.name;
			if (c.owner_domain[0]) {
				EXPECT_STREQ(fleet.vm[owner].domain,
					     c.owner_domain)
					<< c.name;
			}
		}
	}
}

// Only the databases of a VM that leaves change their owner.
TEST(DbOwner, FewMovesWhenAVmLeaves)
{
	Fleet fleet(30);
	std::vector<uint32_t> before;

	for (uint32_t db = 0; db < 300; db++)
		before.push_back(fleet.owner(db, Fleet::kDomains[db % 3]));
	fleet.vm[7].usable = false;
	for (uint32_t db = 0; db < 300; db++) {
		uint32_t after = fleet.owner(db, Fleet::kDomains[db % 3]);
		if (before[db] == 7)
			EXPECT_NE(after, 7u);
		else
			EXPECT_EQ(after, before[db]);
	}
}

// Few strong VMs among many weak ones own databases in proportion.
TEST(DbOwner, ProportionalToCapacity)
{
	Fleet fleet(20, 120);
	uint32_t strong = 0;

	fleet.vm[0].capacity = 1200;
	for (uint32_t db = 0; db < 2000; db++)
		strong += fleet.owner(db, "x") == 0;
	// 1200 of 1200 + 19 * 120.
	EXPECT_NEAR(strong, 2000 * 1200.0 / 3480, 70);
}

// A VM whose capacity is not known yet can own databases.
TEST(DbOwner, UnknownCapacity)
{
	Fleet fleet(1, 0);
	EXPECT_EQ(fleet.owner(1, "a"), 0u);
}
} // namespace
