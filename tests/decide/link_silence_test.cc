#include <gtest/gtest.h>

extern "C" {
#include "decide/link_silence.h"
}

namespace
{
constexpr usec_t kNow = 100 * USEC_PER_SEC;
constexpr usec_t kMs = USEC_PER_MSEC;

// A link on which a statement has waited for so long without data, probed
// that long ago; 0: not probed.
struct link_silence waiting(usec_t quiet, usec_t probed)
{
	struct link_silence l = {};
	l.is_open = true;
	l.n_running = 1;
	l.has_streams = true;
	l.opened_at = kNow - 20 * USEC_PER_SEC;
	l.heard_at = kNow - quiet;
	l.active_since = l.opened_at;
	l.used_at = kNow - quiet;
	l.pinged_at = probed ? kNow - probed : 0;
	return l;
}

// A link without statements.
struct link_silence idle(usec_t quiet, usec_t unused, usec_t probed)
{
	struct link_silence l = waiting(quiet, probed);
	l.n_running = 0;
	l.has_streams = false;
	l.used_at = kNow - unused;
	return l;
}

struct link_silence with(struct link_silence l, bool has_second,
			 bool is_resuming, usec_t second_age)
{
	l.has_second = has_second;
	l.is_resuming = is_resuming;
	l.second_at = second_age ? kNow - second_age : 0;
	return l;
}

struct link_silence active_for(struct link_silence l, usec_t waits)
{
	l.active_since = kNow - waits;
	return l;
}

struct link_silence connecting(usec_t age)
{
	struct link_silence l = waiting(age, 0);
	l.is_open = false;
	l.opened_at = kNow - age;
	return l;
}

struct link_silence holding(struct link_silence l)
{
	l.has_streams = true;
	return l;
}

// Guards against a silent link that costs a statement the half second after
// which it is given up, and against giving up one whose VM only stands still.
TEST(LinkSilence, Steps)
{
	const struct {
		const char *name;
		struct link_silence l;
		enum link_silence_step step;
	} cases[] = {
		{ "data just arrived", waiting(10 * kMs, 0),
		  LINK_SILENCE_NONE },
		{ "a statement waits", waiting(80 * kMs, 0),
		  LINK_SILENCE_PING },
		{ "it has only just begun to wait on a quiet link",
		  active_for(waiting(800 * kMs, 0), 10 * kMs),
		  LINK_SILENCE_NONE },
		{ "just probed", waiting(120 * kMs, 40 * kMs),
		  LINK_SILENCE_NONE },
		{ "the probe is unanswered", waiting(160 * kMs, 80 * kMs),
		  LINK_SILENCE_OPEN_SECOND },
		{ "a second link is being opened",
		  with(waiting(200 * kMs, 120 * kMs), true, false, 40 * kMs),
		  LINK_SILENCE_NONE },
		{ "the last one failed a moment ago",
		  with(waiting(200 * kMs, 120 * kMs), false, false, 40 * kMs),
		  LINK_SILENCE_NONE },
		{ "the last one was some time ago",
		  with(waiting(400 * kMs, 320 * kMs), false, false, 301 * kMs),
		  LINK_SILENCE_OPEN_SECOND },
		{ "this is the second one, not answered yet",
		  with(waiting(400 * kMs, 320 * kMs), false, true, 200 * kMs),
		  LINK_SILENCE_NONE },
		{ "neither link has answered",
		  with(waiting(510 * kMs, 430 * kMs), false, true, 300 * kMs),
		  LINK_SILENCE_GIVE_UP },
		{ "probed, almost given up", waiting(499 * kMs, 424 * kMs),
		  LINK_SILENCE_OPEN_SECOND },
		{ "probed, given up", waiting(501 * kMs, 426 * kMs),
		  LINK_SILENCE_GIVE_UP },
		{ "this VM stood still and has not probed yet",
		  waiting(3 * USEC_PER_SEC, 0), LINK_SILENCE_PING },
		{ "probed long ago, a statement has just come",
		  with(active_for(waiting(9 * USEC_PER_SEC, 8 * USEC_PER_SEC),
				  30 * kMs),
		       false, true, 7 * USEC_PER_SEC),
		  LINK_SILENCE_NONE },
		{ "the same, and it has waited as long as any",
		  with(active_for(waiting(9 * USEC_PER_SEC, 8 * USEC_PER_SEC),
				  501 * kMs),
		       false, true, 7 * USEC_PER_SEC),
		  LINK_SILENCE_GIVE_UP },
		{ "idle, heard lately", idle(900 * kMs, 900 * kMs, 0),
		  LINK_SILENCE_NONE },
		{ "idle, used lately", idle(1001 * kMs, 1001 * kMs, 0),
		  LINK_SILENCE_PING },
		{ "idle, not used lately",
		  idle(6 * USEC_PER_SEC, 6 * USEC_PER_SEC, 0),
		  LINK_SILENCE_NONE },
		{ "an open transaction is idle on it",
		  holding(idle(6 * USEC_PER_SEC, 6 * USEC_PER_SEC, 0)),
		  LINK_SILENCE_PING },
		{ "idle, the probe is unanswered",
		  idle(1100 * kMs, 1100 * kMs, 76 * kMs),
		  LINK_SILENCE_OPEN_SECOND },
		{ "idle, its VM stands still",
		  with(idle(30 * USEC_PER_SEC, 30 * USEC_PER_SEC,
			    29 * USEC_PER_SEC),
		       false, true, 28 * USEC_PER_SEC),
		  LINK_SILENCE_NONE },
		{ "unused", idle(61 * USEC_PER_SEC, 61 * USEC_PER_SEC, 0),
		  LINK_SILENCE_CLOSE_IDLE },
		{ "unused, a transaction is open",
		  holding(idle(100 * kMs, 61 * USEC_PER_SEC, 0)),
		  LINK_SILENCE_NONE },
		{ "being connected", connecting(299 * kMs), LINK_SILENCE_NONE },
		{ "not connected in time", connecting(301 * kMs),
		  LINK_SILENCE_CONNECT_FAILED },
	};
	for (const auto &c : cases)
		EXPECT_EQ(link_silence_next(&c.l, kNow), c.step) << c.name;
}

// Guards against "never received" for a statement that arrived on the link
// before, which runs it twice.
TEST(LinkSilence, BrokenLinkMayBeResumed)
{
	const struct {
		const char *name;
		struct link_silence l;
		bool may;
	} cases[] = {
		{ "a statement waits", waiting(10 * kMs, 0), true },
		{ "a transaction is idle", holding(idle(10 * kMs, 10 * kMs, 0)),
		  true },
		{ "a second link is being opened",
		  with(waiting(200 * kMs, 120 * kMs), true, false, 40 * kMs),
		  true },
		{ "nothing is on it", idle(10 * kMs, 10 * kMs, 0), false },
		{ "it was never open", connecting(10 * kMs), false },
		{ "it asked for streams and has no answer",
		  with(waiting(200 * kMs, 120 * kMs), false, true, 40 * kMs),
		  false },
	};
	for (const auto &c : cases)
		EXPECT_EQ(link_silence_may_resume(&c.l), c.may) << c.name;
}

// Plays a link whose data ends at once, with a tick each 25 ms, and finds when
// the second one is opened.
TEST(LinkSilence, SecondLinkIsOpenedWithin200Ms)
{
	for (usec_t phase = 1 * kMs; phase <= 25 * kMs; phase += 4 * kMs) {
		struct link_silence l = waiting(0, 0);
		usec_t now = kNow + phase;
		enum link_silence_step step = LINK_SILENCE_NONE;

		while (step != LINK_SILENCE_OPEN_SECOND &&
		       now < kNow + USEC_PER_SEC) {
			step = link_silence_next(&l, now);
			if (step == LINK_SILENCE_PING)
				l.pinged_at = now;
			if (step != LINK_SILENCE_OPEN_SECOND)
				now += 25 * kMs;
		}
		EXPECT_LE(now - kNow, 200 * kMs) << phase;
	}
}
} // namespace
