#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "decide/lost_answer.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;
constexpr auto kWait = LOST_ANSWER_WAIT;
constexpr auto kFree = LOST_ANSWER_FREE_SLOT;
constexpr auto kClose = LOST_ANSWER_CLOSE;

// Guards against reads and transactions that wait for a lost answer until their
// deadline, against slots that stay occupied by it, and against closing
// connections of a database that is slow or stopped.
TEST(LostAnswer, NeedsALaterAnswerOnAnotherConnection)
{
	const struct {
		const char *name;
		enum lost_answer_kind kind;
		// in ms
		usec_t latency, deviation, answered_sent_at, waited;
		enum lost_answer_action action;
	} cases[] = {
		{ "just sent", LOST_ANSWER_READ, 15, 5, 1050, 90, kWait },
		{ "overdue, others answer", LOST_ANSWER_READ, 15, 5, 1050, 101,
		  kFree },
		{ "overdue, others answered earlier requests", LOST_ANSWER_READ,
		  15, 5, 900, 1000, kWait },
		{ "overdue, nothing was ever answered", LOST_ANSWER_READ, 15, 5,
		  0, 1000, kWait },
		{ "read, for three times the limit", LOST_ANSWER_READ, 15, 5,
		  1050, 301, kClose },
		{ "transaction, for less than that", LOST_ANSWER_ROLLBACK, 15,
		  5, 1050, 300, kFree },
		{ "transaction, for three times the limit and less than half "
		  "of its time",
		  LOST_ANSWER_ROLLBACK, 15, 5, 1050, 400, kFree },
		{ "transaction, for more than half of its time",
		  LOST_ANSWER_ROLLBACK, 15, 5, 1050, 401, kClose },
		{ "write: its answer may still come", LOST_ANSWER_WRITE, 15, 5,
		  1050, 5000, kFree },
		{ "nobody waits", LOST_ANSWER_ABANDONED, 15, 5, 1050, 101,
		  kClose },
		{ "nobody waits, all are slow", LOST_ANSWER_ABANDONED, 150, 50,
		  1050, 550, kWait },
		{ "slow database", LOST_ANSWER_READ, 150, 50, 1050, 550,
		  kWait },
		{ "overdue at a slow database", LOST_ANSWER_READ, 150, 50, 1050,
		  551, kFree },
	};
	for (const auto &c : cases) {
		struct lost_answer_view v = {
			.kind = c.kind,
			.began_at = 1000 * kMs,
			.deadline = 1800 * kMs,
			.sent_at = 1000 * kMs,
			.latency = c.latency * kMs,
			.deviation = c.deviation * kMs,
			.answered_sent_at = c.answered_sent_at * kMs,
		};
		EXPECT_EQ(lost_answer_check(&v, (1000 + c.waited) * kMs),
			  c.action)
			<< c.name;
	}
}

// Guards against a long read that is taken from each connection in turn, runs
// again and again at all databases, and is never answered, while short ones on
// other connections are.
TEST(LostAnswer, LongReadIsAnsweredAmongShortOnes)
{
	const struct {
		usec_t takes; // in ms
		int runs;     // until one of them is answered
	} cases[] = {
		{ 20, 1 }, { 299, 1 }, { 400, 3 }, { 1000, 4 }, { 2000, 5 },
	};
	for (const auto &c : cases) {
		usec_t now = 1000;
		int runs = 0;
		bool is_answered = false;
		while (!is_answered && runs < 100) {
			usec_t sent_at = now;
			bool is_moved = false;
			runs++;
			while (!is_moved && now < sent_at + c.takes) {
				now++;
				struct lost_answer_view v = {
					.kind = LOST_ANSWER_READ,
					.began_at = 1000 * kMs,
					.deadline = 9000 * kMs,
					.sent_at = sent_at * kMs,
					.latency = 10 * kMs,
					.deviation = 5 * kMs,
					.answered_sent_at = (now - 10) * kMs,
				};
				is_moved = lost_answer_check(&v, now * kMs) ==
					   kClose;
			}
			is_answered = !is_moved;
		}
		EXPECT_EQ(runs, c.runs) << c.takes;
	}
}

// Guards against a database with few slots that stops: one answer in twenty is
// lost, and each would occupy its slot until the connection is given up, 5 s
// later. Statements arrive in turn, 10 ms apart, and take 10 ms.
TEST(LostAnswer, FewSlotsAndManyLostAnswers)
{
	const int slot_counts[] = { 2, 3, 5, 64 };

	for (int slots : slot_counts) {
		std::vector<struct lost_answer_view> lost;
		int running = 0;
		int refused = 0;
		usec_t answered_sent_at = 0;

		for (int i = 1; i <= 400; i++) {
			usec_t now = i * 10 * kMs;

			for (auto &v : lost) {
				v.answered_sent_at = answered_sent_at;
				if (v.sent_at && lost_answer_check(&v, now) !=
							 LOST_ANSWER_WAIT) {
					v.sent_at = 0;
					running--;
				}
			}
			if (running >= slots) {
				refused++;
				continue;
			}
			if (i % 20 == 0) {
				running++;
				lost.push_back({ .kind = LOST_ANSWER_WRITE,
						 .began_at = now,
						 .deadline = now + 800 * kMs,
						 .sent_at = now,
						 .latency = 10 * kMs,
						 .deviation = 5 * kMs,
						 .answered_sent_at = 0 });
			} else {
				answered_sent_at = now;
			}
		}
		EXPECT_EQ(refused, 0) << slots;
	}
}
} // namespace
