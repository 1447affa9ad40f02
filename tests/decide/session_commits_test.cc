#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "decide/session_commits.h"
}

namespace
{
constexpr usec_t kSecond = 1000000;
constexpr uint64_t kNoPosition = 0;

struct Commit {
	uint32_t service;
	uint64_t position; // kNoPosition: the reply had none
	usec_t at;
};

session_commits noted(const std::vector<Commit> &commits)
{
	session_commits c = {};
	for (const auto &m : commits) {
		log_pos at = { 1, m.position };
		session_commits_note(&c, m.service,
				     m.position == kNoPosition ? nullptr : &at,
				     m.at);
	}
	return c;
}

// Guards against a commit that is forgotten when the session commits at another
// service, while its route leads there: later reads of the first service would
// not see it.
TEST(SessionCommits, ReadSeesTheCommitOfItsService)
{
	const struct {
		const char *name;
		std::vector<Commit> commits;
		uint32_t service; // of the read
		usec_t at;
		uint64_t position;
	} cases[] = {
		{ "no commit", {}, 1, 0, kNoPosition },
		{ "elsewhere only", { { 2, 5, 10 } }, 1, 0, kNoPosition },
		{ "one service", { { 1, 5, 10 } }, 1, 10, 5 },
		{ "the newest", { { 1, 5, 10 }, { 1, 7, 20 } }, 1, 20, 7 },
		{ "one in between", { { 1, 5, 10 }, { 2, 9, 20 } }, 1, 10, 5 },
		{ "there and back twice",
		  { { 1, 5, 10 }, { 2, 9, 20 }, { 1, 6, 30 }, { 2, 3, 40 } },
		  1,
		  30,
		  6 },
		{ "three services",
		  { { 1, 5, 10 }, { 2, 9, 20 }, { 3, 8, 30 } },
		  2,
		  20,
		  9 },
		{ "the log went on from an earlier position",
		  { { 1, 9, 10 }, { 1, 4, 20 } },
		  1,
		  20,
		  4 },
		{ "a commit without a position",
		  { { 1, 9, 10 }, { 1, kNoPosition, 20 } },
		  1,
		  20,
		  kNoPosition },
		{ "the oldest is dropped, its time is kept",
		  { { 1, 5, 10 },
		    { 2, 5, 20 },
		    { 3, 5, 30 },
		    { 4, 5, 40 },
		    { 5, 5, 50 } },
		  1,
		  10,
		  kNoPosition },
		{ "a service that was not named has what was dropped",
		  { { 1, 5, 10 },
		    { 2, 5, 20 },
		    { 3, 5, 30 },
		    { 4, 5, 40 },
		    { 5, 5, 50 },
		    { 6, 5, 60 } },
		  9,
		  20,
		  kNoPosition },
		{ "the others are kept",
		  { { 1, 5, 10 },
		    { 2, 5, 20 },
		    { 1, 6, 30 },
		    { 3, 5, 40 },
		    { 4, 5, 50 },
		    { 5, 5, 60 } },
		  1,
		  30,
		  6 },
	};
	for (const auto &c : cases) {
		session_commits commits = noted(c.commits);
		session_commit found =
			session_commits_find(&commits, c.service);
		EXPECT_EQ(found.at, c.at) << c.name;
		EXPECT_EQ(found.has_position, c.position != kNoPosition)
			<< c.name;
		EXPECT_EQ(found.position.position, c.position) << c.name;
	}
}

// Guards against a read that does not see an own commit whose position is not
// known: its staleness bound has to end at the commit.
TEST(SessionCommits, BoundCoversACommitOfUnknownPosition)
{
	const struct {
		const char *name;
		session_commit commit;
		usec_t began_at;
		usec_t bound;
		usec_t wanted;
	} cases[] = {
		{ "no commit", {}, 9 * kSecond, 2 * kSecond, 2 * kSecond },
		{ "its position is known",
		  { 1, 8 * kSecond, true, { 1, 5 } },
		  9 * kSecond,
		  2 * kSecond,
		  2 * kSecond },
		{ "within the bound",
		  { 1, 8 * kSecond, false, {} },
		  9 * kSecond,
		  2 * kSecond,
		  1 * kSecond },
		{ "the bound covers it",
		  { 1, 5 * kSecond, false, {} },
		  9 * kSecond,
		  2 * kSecond,
		  2 * kSecond },
		{ "at the same time",
		  { 1, 9 * kSecond, false, {} },
		  9 * kSecond,
		  2 * kSecond,
		  0 },
	};
	for (const auto &c : cases)
		EXPECT_EQ(session_commit_bound(&c.commit, c.began_at, c.bound),
			  c.wanted)
			<< c.name;
}
} // namespace
