#include <gtest/gtest.h>

extern "C" {
#include "decide/failover_rank.h"
}

namespace
{
// Guards against a failover that waits for VMs that the store does not answer.
TEST(FailoverRank, VmsThatTheStoreAnswersGoFirst)
{
	const struct {
		const char *name;
		struct failover_rank_vm a, b;
		bool is_before;
	} cases[] = {
		{ "higher hash",
		  { 9, false, false },
		  { 5, false, false },
		  true },
		{ "lower hash",
		  { 5, false, false },
		  { 9, false, false },
		  false },
		{ "higher hash, not answered",
		  { 9, false, true },
		  { 5, false, false },
		  false },
		{ "lower hash, the other is not answered",
		  { 5, false, false },
		  { 9, false, true },
		  true },
		{ "store answers nobody, higher hash",
		  { 9, false, true },
		  { 5, false, true },
		  true },
		{ "store answers nobody, lower hash",
		  { 5, false, true },
		  { 9, false, true },
		  false },
		{ "draining", { 9, true, false }, { 5, false, false }, false },
		{ "before a draining one",
		  { 5, false, false },
		  { 9, true, false },
		  true },
		{ "not answered, before a draining one that is",
		  { 9, false, true },
		  { 5, true, false },
		  false },
	};
	for (const auto &c : cases) {
		EXPECT_EQ(failover_rank_is_before(&c.a, &c.b), c.is_before)
			<< c.name;
	}
}
} // namespace
