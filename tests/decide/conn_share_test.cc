#include <gtest/gtest.h>

extern "C" {
#include "decide/conn_share.h"
}

namespace
{
// Guards against an owner that works with half of the connections while teams
// wait for one, and against one that leaves its successor too few for the
// slots while the database keeps those of a VM that lost power.
TEST(ConnShare, OwnerAndItsSuccessor)
{
	const struct {
		const char *name;
		struct conn_share_view view;
		uint32_t share;
	} cases[] = {
		{ "owner, few connections", { 16, 2, 7, true }, 10 },
		{ "owner, many connections", { 52, 3, 68, true }, 44 },
		{ "owner, more slots than connections", { 8, 64, 7, true }, 1 },
		{ "owner, number of slots not known", { 16, 0, 7, true }, 14 },
		{ "other VM of a small fleet", { 39, 3, 3, false }, 1 },
		{ "only other VM", { 39, 3, 2, false }, 2 },
		{ "other VM of a large fleet", { 180, 5, 300, false }, 1 },
		{ "number of VMs not known", { 16, 2, 0, false }, 1 },
	};
	for (const auto &c : cases) {
		struct conn_share_view v = c.view;

		EXPECT_EQ(conn_share(&v), c.share) << c.name;
		if (v.is_owner && c.share > 1) {
			EXPECT_GE(v.max_connections - c.share, 2 * v.slots)
				<< c.name;
		}
	}
}
} // namespace
