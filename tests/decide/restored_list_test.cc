#include <gtest/gtest.h>

extern "C" {
#include "decide/restored_list.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kBack = 2500 * kMs;

TEST(RestoredList, IsPartialUntilMembersRegisteredAgain)
{
	const struct {
		const char *name;
		usec_t asked_at, restored_at;
		bool partial;
	} cases[] = {
		{ "never restored", 10000 * kMs, 0, false },
		{ "never restored, just started", 1, 0, false },
		{ "asked before", 9000 * kMs, 10000 * kMs, true },
		{ "asked at once", 10000 * kMs, 10000 * kMs, true },
		{ "asked in time", 12499 * kMs, 10000 * kMs, true },
		{ "asked after", 12500 * kMs, 10000 * kMs, false },
		{ "heard of it before this VM started", 100 * kMs, -5000 * kMs,
		  false },
	};
	for (const auto &c : cases)
		EXPECT_EQ(restored_list_is_partial(c.asked_at, c.restored_at,
						   kBack),
			  c.partial)
			<< c.name;
}

TEST(RestoredList, OlderEntriesChangeNothing)
{
	const struct {
		const char *name;
		struct restored_member known, listed;
		enum restored_entry verdict;
	} cases[] = {
		{ "as known",
		  { 7, false, true },
		  { 7, false, true },
		  RESTORED_ENTRY_TAKE },
		{ "departs now",
		  { 7, false, true },
		  { 7, true, true },
		  RESTORED_ENTRY_TAKE },
		{ "departing, from before its departure",
		  { 7, true, true },
		  { 7, false, true },
		  RESTORED_ENTRY_DEPARTS },
		{ "still departing",
		  { 7, true, true },
		  { 7, true, true },
		  RESTORED_ENTRY_TAKE },
		{ "from before its restart",
		  { 7, false, true },
		  { 6, false, true },
		  RESTORED_ENTRY_IGNORE },
		{ "from before its restart, departing then",
		  { 7, false, true },
		  { 6, true, true },
		  RESTORED_ENTRY_IGNORE },
		{ "restarted meanwhile",
		  { 7, false, true },
		  { 8, false, true },
		  RESTORED_ENTRY_TAKE },
		{ "restarted after it departed",
		  { 7, true, true },
		  { 8, false, true },
		  RESTORED_ENTRY_TAKE },
		{ "restarted at another address",
		  { 7, false, true },
		  { 8, false, false },
		  RESTORED_ENTRY_TAKE },
		{ "another address, the same start",
		  { 7, false, true },
		  { 7, false, false },
		  RESTORED_ENTRY_IGNORE },
		{ "another address, starts unknown",
		  { 0, false, true },
		  { 0, false, false },
		  RESTORED_ENTRY_IGNORE },
		{ "start not listed any more",
		  { 7, false, true },
		  { 0, false, true },
		  RESTORED_ENTRY_IGNORE },
		{ "start listed for the first time",
		  { 0, true, true },
		  { 7, false, true },
		  RESTORED_ENTRY_DEPARTS },
	};
	for (const auto &c : cases)
		EXPECT_EQ(restored_list_entry(&c.known, &c.listed), c.verdict)
			<< c.name;
}
} // namespace
