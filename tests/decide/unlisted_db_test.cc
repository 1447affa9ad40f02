#include <gtest/gtest.h>

extern "C" {
#include "decide/unlisted_db.h"
}

namespace
{
constexpr usec_t kNow = 100 * USEC_PER_SEC;

// Guards against a promotion beside a primary that other VMs still use and
// prove: its entry and that of its replica lapse if they can't reach the
// platform.
TEST(UnlistedDb, StaysFencedWhileItAnswers)
{
	const struct {
		const char *name;
		struct unlisted_db d;
		enum unlisted_db_step step;
	} cases[] = {
		{ "it announced its departure",
		  { true, true, kNow },
		  UNLISTED_DB_DROP },
		{ "it left after its departure",
		  { true, false, kNow },
		  UNLISTED_DB_DROP },
		{ "its entry lapsed, it answers",
		  { false, true, kNow },
		  UNLISTED_DB_KEEP },
		{ "answers, before the time",
		  { false, true, kNow - UNLISTED_DB_KEPT_US + 1 },
		  UNLISTED_DB_KEEP },
		{ "answers, but no statements may reach it soon",
		  { false, true, kNow - UNLISTED_DB_KEPT_US },
		  UNLISTED_DB_DROP_AND_WAIT },
		{ "silent here: other VMs may reach it",
		  { false, false, kNow },
		  UNLISTED_DB_DROP_AND_WAIT },
	};
	for (const auto &c : cases)
		EXPECT_EQ(unlisted_db_check(&c.d, kNow), c.step) << c.name;
}

TEST(UnlistedDb, FailoverWaitsUntilOthersKnow)
{
	const struct {
		const char *name;
		usec_t dropped_at;
		bool known;
	} cases[] = {
		{ "none was dropped", 0, true },
		{ "just now", kNow, false },
		{ "almost", kNow - UNLISTED_DB_KNOWN_US + 1, false },
		{ "all know", kNow - UNLISTED_DB_KNOWN_US, true },
	};
	for (const auto &c : cases)
		EXPECT_EQ(unlisted_db_is_known(c.dropped_at, kNow), c.known)
			<< c.name;
}

// Guards against a proof by databases that other VMs no longer know, and so did
// not pause.
TEST(DbList, ProvesOnlyWhileOthersCanHaveNoNewerOne)
{
	const struct {
		const char *name;
		struct db_list_view v;
		bool current;
	} cases[] = {
		{ "hears most VMs, the platform is down for all",
		  { kNow - 60 * USEC_PER_SEC, 0, true },
		  true },
		{ "a peer has just told of a newer list",
		  { kNow - USEC_PER_SEC, kNow, true },
		  true },
		{ "it got no copy of the newer list",
		  { kNow, kNow - DB_LIST_COPY_MAX_US, true },
		  false },
		{ "alone, with the platform",
		  { kNow - UNLISTED_DB_KNOWN_US + 1, 0, false },
		  true },
		{ "alone, without the platform",
		  { kNow - UNLISTED_DB_KNOWN_US, 0, false },
		  false },
		{ "alone, without any list", { 0, 0, false }, false },
	};
	for (const auto &c : cases)
		EXPECT_EQ(db_list_is_current(&c.v, kNow), c.current) << c.name;
}
} // namespace
