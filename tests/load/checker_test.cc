#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "load/checker.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

// One call to the checker in the history of a single key.
struct step {
	// b begin_write, n write_not_run, u write_unknown, d write_done,
	// r read, f final_read
	char call;
	int64_t amount;
	int64_t value; // of the row; negative: no row
	enum violation expected = VIOLATION_NONE;
	usec_t at = 0; // at, max_age and age are in ms
	usec_t max_age = 1000;
	usec_t age = 0;
};

void run_steps(const char *name, bool counter, const std::vector<step> &steps)
{
	struct checker *v = checker_create();
	uint32_t k = checker_add_key(v, "c/red/1", "red", counter);
	int64_t min_value = 0;
	int i = 0;
	for (const auto &s : steps) {
		struct checker_row row = { "c/red/1", s.value, true };
		size_t n = s.value >= 0 ? 1 : 0;
		enum violation got = VIOLATION_NONE;
		switch (s.call) {
		case 'b':
			checker_begin_write(v, k, s.amount);
			break;
		case 'n':
			checker_write_not_run(v, k, s.amount);
			break;
		case 'u':
			checker_write_unknown(v, k, s.amount);
			break;
		case 'd':
			got = checker_write_done(v, k, s.amount, &row, n,
						 s.at * kMs, &min_value);
			break;
		case 'r':
			got = checker_read(v, k, &row, n, s.at * kMs,
					   s.max_age * kMs, s.age * kMs,
					   &min_value);
			break;
		default:
			got = checker_final_read(v, k, &row, n);
		}
		EXPECT_EQ(got, s.expected) << name << " step " << i;
		i++;
	}
	checker_destroy(v);
}

TEST(Checker, Counters)
{
	const struct {
		const char *name;
		std::vector<step> steps;
	} cases[] = {
		{ "all done", { { 'b', 2, 0 }, { 'd', 2, 2 }, { 'f', 0, 2 } } },
		{ "never written", { { 'f', 0, -1 } } },
		{ "lost",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'f', 0, -1, VIOLATION_LOST } } },
		{ "doubled",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'f', 0, 2, VIOLATION_DOUBLED } } },
		{ "doubled in the answer to the write",
		  { { 'b', 1, 0 }, { 'd', 1, 2, VIOLATION_DOUBLED } } },
		{ "unknown did not run",
		  { { 'b', 1, 0 }, { 'u', 1, 0 }, { 'f', 0, -1 } } },
		{ "unknown ran",
		  { { 'b', 1, 0 }, { 'u', 1, 0 }, { 'f', 0, 1 } } },
		{ "unknown ran twice",
		  { { 'b', 1, 0 },
		    { 'u', 1, 0 },
		    { 'f', 0, 2, VIOLATION_DOUBLED } } },
		{ "not run but ran",
		  { { 'b', 1, 0 },
		    { 'n', 1, 0 },
		    { 'f', 0, 1, VIOLATION_DOUBLED } } },
		{ "sees a write still in flight",
		  { { 'b', 1, 0 },
		    { 'b', 4, 0 },
		    { 'r', 0, 5 },
		    { 'd', 4, 5, VIOLATION_LOST } } },
		{ "own write unseen",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'r', 0, -1, VIOLATION_STALE } } },
		{ "response to a write below an earlier value",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'b', 1, 0 },
		    { 'd', 1, 1, VIOLATION_LOST } } },
		{ "answer without a row",
		  { { 'b', 1, 0 }, { 'd', 1, -1, VIOLATION_MIXED } } },
	};
	for (const auto &c : cases)
		run_steps(c.name, true, c.steps);
}

TEST(Checker, SingleWriterKeys)
{
	const struct {
		const char *name;
		std::vector<step> steps;
	} cases[] = {
		{ "last write",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'b', 1, 0 },
		    { 'd', 1, 2 },
		    { 'f', 0, 2 } } },
		{ "unknown and ran",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'b', 1, 0 },
		    { 'u', 1, 0 },
		    { 'f', 0, 2 } } },
		{ "not run but visible",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'b', 1, 0 },
		    { 'n', 1, 0 },
		    { 'r', 0, 2, VIOLATION_DOUBLED } } },
		{ "reverted",
		  { { 'b', 1, 0 },
		    { 'd', 1, 1 },
		    { 'b', 1, 0 },
		    { 'd', 1, 2 },
		    { 'f', 0, 1, VIOLATION_LOST } } },
	};
	for (const auto &c : cases)
		run_steps(c.name, false, c.steps);
}

TEST(Checker, Staleness)
{
	// Acknowledged: 1 at 0 ms, 2 at 500 ms, 3 at 1000 ms.
	const struct {
		const char *name;
		usec_t sent, max_age, age;
		int64_t value;
		enum violation expected;
	} cases[] = {
		{ "newest", 1500, 0, 0, 3, VIOLATION_NONE },
		{ "older than allowed", 1500, 400, 0, 2, VIOLATION_STALE },
		{ "as old as allowed", 1500, 600, 0, 2, VIOLATION_NONE },
		{ "very old", 1600, 600, 0, 1, VIOLATION_STALE },
		{ "old and allowed", 1600, 1200, 0, 1, VIOLATION_NONE },
		{ "states too high an age", 1600, 500, 501, 3,
		  VIOLATION_STALE },
		{ "states an allowed age", 1600, 500, 500, 3, VIOLATION_NONE },
		{ "value from no write", 1600, 500, 0, 9, VIOLATION_DOUBLED },
	};
	for (const auto &c : cases) {
		struct checker *v = checker_create();
		uint32_t k = checker_add_key(v, "c/red/1", "red", true);
		int64_t writer = 0, reader = 0;
		for (int i = 1; i <= 3; i++) {
			struct checker_row row = { "c/red/1", i, true };
			checker_begin_write(v, k, 1);
			checker_write_done(v, k, 1, &row, 1,
					   (i - 1) * 500 * kMs, &writer);
		}
		struct checker_row row = { "c/red/1", c.value, true };
		EXPECT_EQ(checker_read(v, k, &row, 1, c.sent * kMs,
				       c.max_age * kMs, c.age * kMs, &reader),
			  c.expected)
			<< c.name;
		checker_destroy(v);
	}
}

TEST(Checker, ResponsesOfOtherRequests)
{
	const struct {
		const char *name;
		std::vector<struct checker_row> rows;
		enum violation read, list;
	} cases[] = {
		{ "own",
		  { { "c/red/1", 0, true } },
		  VIOLATION_NONE,
		  VIOLATION_NONE },
		{ "another key",
		  { { "d/red/1", 0, true } },
		  VIOLATION_MIXED,
		  VIOLATION_MIXED },
		{ "another team",
		  { { "c/blue/1", 0, true } },
		  VIOLATION_TEAM,
		  VIOLATION_TEAM },
		{ "not an integer",
		  { { "c/red/1", 0, false } },
		  VIOLATION_MIXED,
		  VIOLATION_NONE },
		{ "two rows",
		  { { "c/red/1", 0, true }, { "c/red/2", 0, true } },
		  VIOLATION_MIXED,
		  VIOLATION_NONE },
		{ "none", {}, VIOLATION_NONE, VIOLATION_NONE },
	};
	for (const auto &c : cases) {
		struct checker *v = checker_create();
		uint32_t k = checker_add_key(v, "c/red/1", "red", true);
		int64_t min_value = 0;
		EXPECT_EQ(checker_read(v, k, c.rows.data(), c.rows.size(), 0, 0,
				       0, &min_value),
			  c.read)
			<< c.name;
		EXPECT_EQ(checker_list("c/red/", "red", c.rows.data(),
				       c.rows.size()),
			  c.list)
			<< c.name;
		checker_destroy(v);
	}
}
} // namespace
