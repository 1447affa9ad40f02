#include <gtest/gtest.h>

#include "tests/decide/confirm_sim.h"

namespace
{
using confirm_sim::Fleet;
using confirm_sim::Outcome;
using confirm_sim::Simulation;

constexpr usec_t kMs = USEC_PER_MSEC;
constexpr usec_t kNow = 100 * USEC_PER_SEC;
// A VM refuses an unknown key for good only while a read of at most this age
// confirms its configuration.
constexpr usec_t kInForce = 3 * USEC_PER_SEC;
constexpr confirmation_data kHeld = { .version = 7, .contents = 70 };

// Guards against ages that are shorter than the truth, and against reads that
// confirm a configuration which lacks what the reading VM had.
TEST(Confirmation, AddTold)
{
	const confirmation_told fresh = {
		.id = { 1, 1 }, .data = kHeld, .age_ms = 100, .hops = 0
	};
	const struct {
		const char *name;
		void (*change)(confirmation_told *t, confirmation_data *held);
		bool is_large;
		bool is_newest;
		usec_t age; // as taken
	} cases[] = {
		{ "a read of a small fleet",
		  [](confirmation_told *, confirmation_data *) {}, false, true,
		  100 * kMs },
		{ "with the time of the datagram",
		  [](confirmation_told *, confirmation_data *) {}, true, true,
		  140 * kMs },
		{ "told on by a VM that counts more VMs",
		  [](confirmation_told *t, confirmation_data *) {
			  t->hops = 1;
		  },
		  false, true, 140 * kMs },
		{ "the last datagram",
		  [](confirmation_told *t, confirmation_data *) {
			  t->hops = CONFIRMATION_HOPS_MAX - 1;
		  },
		  true, true, 140 * kMs },
		{ "told too often",
		  [](confirmation_told *t, confirmation_data *) {
			  t->hops = CONFIRMATION_HOPS_MAX;
		  },
		  true, false, 0 },
		{ "no read",
		  [](confirmation_told *t, confirmation_data *) {
			  t->id.number = 0;
		  },
		  true, false, 0 },
		{ "an age that is an error",
		  [](confirmation_told *t, confirmation_data *) {
			  t->age_ms = UINT64_MAX;
		  },
		  true, false, 0 },
		{ "nothing is held yet",
		  [](confirmation_told *, confirmation_data *h) { *h = {}; },
		  true, false, 0 },
		{ "nothing is held, nothing was read",
		  [](confirmation_told *t, confirmation_data *h) {
			  t->data = *h = {};
		  },
		  true, false, 0 },
		{ "an older version is held",
		  [](confirmation_told *, confirmation_data *h) {
			  h->version = 6;
		  },
		  true, false, 0 },
		{ "a newer version is held",
		  [](confirmation_told *, confirmation_data *h) {
			  *h = { 8, 80 };
		  },
		  true, true, 140 * kMs },
		{ "other contents of the version are held",
		  [](confirmation_told *, confirmation_data *h) {
			  h->contents = 71;
		  },
		  true, false, 0 },
	};
	for (const auto &c : cases) {
		confirmation known = {};
		confirmation_told told = fresh;
		confirmation_data held = kHeld;
		c.change(&told, &held);
		EXPECT_EQ(confirmation_add_told(&known, &told, &held,
						c.is_large, kNow),
			  c.is_newest)
			<< c.name;
		EXPECT_EQ(known.newest.id.number, c.is_newest ? 1U : 0U)
			<< c.name;
		if (c.is_newest) {
			EXPECT_EQ(kNow - known.newest.began_at, c.age)
				<< c.name;
		}
	}
}

// Guards against an age that gets shorter as the read is told on and on: late
// datagrams of a read make it look younger than one that is known already.
TEST(Confirmation, ReadIsTakenOnce)
{
	confirmation known = {};
	confirmation_told first = { { 1, 1 }, kHeld, 500, 0 };
	confirmation_told second = { { 2, 2 }, kHeld, 100, 0 };
	EXPECT_TRUE(confirmation_add_told(&known, &first, &kHeld, true, kNow));
	EXPECT_FALSE(confirmation_add_told(&known, &first, &kHeld, true,
					   kNow + 200 * kMs));
	EXPECT_TRUE(confirmation_add_told(&known, &second, &kHeld, true, kNow));
	EXPECT_FALSE(confirmation_add_told(&known, &first, &kHeld, true,
					   kNow + USEC_PER_SEC));
	EXPECT_EQ(known.newest.began_at, kNow - 140 * kMs);
	// A read that began earlier is not taken, though it is heard of later.
	confirmation_told older = { { 3, 3 }, kHeld, 300, 0 };
	EXPECT_FALSE(confirmation_add_told(&known, &older, &kHeld, true, kNow));
	// Nor is this VM's own read, if others tell it.
	confirmation_read own = { { 9, 9 }, kHeld, kNow, 0 };
	EXPECT_TRUE(confirmation_add_own(&known, &own));
	confirmation_told echo = { { 9, 9 }, kHeld, 0, 1 };
	EXPECT_FALSE(confirmation_add_told(&known, &echo, &kHeld, true,
					   kNow + USEC_PER_SEC));
}

// Guards against a read that took long and replaces a newer one.
TEST(Confirmation, OwnReadThatBeganEarlier)
{
	confirmation known = {};
	confirmation_told told = { { 1, 1 }, kHeld, 100, 0 };
	confirmation_read own = { { 9, 9 }, kHeld, kNow - USEC_PER_SEC, 0 };
	EXPECT_TRUE(confirmation_add_told(&known, &told, &kHeld, true, kNow));
	EXPECT_FALSE(confirmation_add_own(&known, &own));
	EXPECT_EQ(known.newest.id.vm, 1U);
	EXPECT_EQ(known.own.id.vm, 9U);
}

// Guards against heartbeats that tell a read which does not confirm what their
// sender holds, and against relayed reads in a small fleet.
TEST(Confirmation, Heartbeat)
{
	const confirmation_read own = { { 9, 9 }, kHeld, kNow - 900 * kMs, 0 };
	const confirmation_told told = { { 1, 1 }, kHeld, 100, 2 };
	const struct {
		const char *name;
		confirmation_data held;
		bool is_large;
		uint32_t vm; // whose read is told; 0: none
		uint64_t age_ms;
		uint32_t hops;
	} cases[] = {
		{ "small fleet", kHeld, false, 9, 900, 0 },
		{ "large fleet", kHeld, true, 1, 140, 3 },
		{ "newer version since", { 8, 80 }, true, 1, 140, 3 },
		{ "other contents since", { 7, 71 }, true, 0, 0, 0 },
	};
	for (const auto &c : cases) {
		confirmation known = {};
		confirmation_add_own(&known, &own);
		confirmation_add_told(&known, &told, &kHeld, true, kNow);
		confirmation_told t = confirmation_tell_held(&known, &c.held,
							     c.is_large, kNow);
		EXPECT_EQ(t.id.vm, c.vm) << c.name;
		EXPECT_EQ(t.age_ms, c.age_ms) << c.name;
		EXPECT_EQ(t.hops, c.hops) << c.name;
		EXPECT_EQ(t.data.version, c.vm ? c.held.version : 0) << c.name;
	}
	const confirmation empty = {};
	EXPECT_EQ(confirmation_tell_held(&empty, &kHeld, true, kNow).id.number,
		  0U);
	// An age is rounded up, so that telling it does not shorten it.
	confirmation known = {};
	const confirmation_read odd = { { 9, 9 }, kHeld, kNow - 1, 0 };
	confirmation_add_own(&known, &odd);
	EXPECT_EQ(confirmation_tell(&known, kNow).age_ms, 1U);
}

// Guards against reads that nobody tells a failure domain, and against more
// datagrams than a VM may send.
TEST(Confirmation, Audience)
{
	const struct {
		const char *name;
		confirmation_view view;
		uint32_t hops;
		usec_t age;
		usec_t sent_before; // since the last read that was sent; 0:
				    // never
		confirmation_audience to;
	} cases[] = {
		{ "own read",
		  { true, false, true },
		  0,
		  10 * kMs,
		  0,
		  CONFIRMATION_TO_DOMAIN_AND_READERS },
		{ "own read, small fleet",
		  { false, true, true },
		  0,
		  10 * kMs,
		  0,
		  CONFIRMATION_TO_NOBODY },
		{ "relay, another domain",
		  { true, true, false },
		  1,
		  50 * kMs,
		  0,
		  CONFIRMATION_TO_DOMAIN },
		{ "relay, own domain",
		  { true, true, true },
		  1,
		  50 * kMs,
		  0,
		  CONFIRMATION_TO_NOBODY },
		{ "no relay",
		  { true, false, false },
		  1,
		  50 * kMs,
		  0,
		  CONFIRMATION_TO_NOBODY },
		{ "relay that heard of it by gossip",
		  { true, true, false },
		  4,
		  500 * kMs,
		  0,
		  CONFIRMATION_TO_DOMAIN },
		{ "told too often",
		  { true, true, false },
		  CONFIRMATION_HOPS_MAX,
		  500 * kMs,
		  0,
		  CONFIRMATION_TO_NOBODY },
		{ "soon after another",
		  { true, true, false },
		  1,
		  50 * kMs,
		  249 * kMs,
		  CONFIRMATION_TO_NOBODY },
		{ "own, soon after another",
		  { true, true, true },
		  0,
		  50 * kMs,
		  249 * kMs,
		  CONFIRMATION_TO_NOBODY },
		{ "later",
		  { true, true, false },
		  1,
		  50 * kMs,
		  250 * kMs,
		  CONFIRMATION_TO_DOMAIN },
		{ "suspended, and heard of it late",
		  { true, true, false },
		  1,
		  3001 * kMs,
		  0,
		  CONFIRMATION_TO_NOBODY },
	};
	for (const auto &c : cases) {
		confirmation known = {};
		known.newest = { { 1, 1 }, kHeld, kNow - c.age, c.hops };
		known.sent_at = c.sent_before ? kNow - c.sent_before : 0;
		EXPECT_EQ(confirmation_send(&known, &c.view, kNow), c.to)
			<< c.name;
	}
	const confirmation_view view = { true, true, false };
	confirmation empty = {};
	EXPECT_EQ(confirmation_send(&empty, &view, kNow),
		  CONFIRMATION_TO_NOBODY);
}

// Guards against callers that get BUSY on a calm day, as VMs of a large fleet
// hear of a read by chance and later than 3 s after the one before; and against
// datagrams and calls to the store that grow with the fleet.
TEST(Confirmation, AgeStaysBelowThreeSeconds)
{
	const struct {
		Fleet fleet;
		double per_vm; // most datagrams a VM and second
		double reads;  // most a second that the store answers
	} cases[] = {
		{ { .name = "18 VMs", .vms = 18, .domains = 3 }, 2.5, 2.5 },
		{ { .name = "63 VMs", .vms = 63, .domains = 3 }, 2.5, 2.5 },
		{ { .name = "90 VMs", .vms = 90, .domains = 5 }, 2.5, 2.5 },
		{ { .name = "195 VMs", .vms = 195, .domains = 5 }, 2.5, 2.5 },
		{ { .name = "300 VMs", .vms = 300, .domains = 5 }, 2.5, 2.5 },
		{ { .name = "18, lossy", .vms = 18, .domains = 3, .loss = 0.1 },
		  3,
		  3 },
		{ { .name = "300, lossy",
		    .vms = 300,
		    .domains = 5,
		    .loss = 0.1 },
		  3,
		  3 },
		{ { .name = "18, a reader of each domain is dead",
		    .vms = 18,
		    .domains = 3,
		    .dead = 1,
		    .dead_domains = 3 },
		  2.5,
		  2.5 },
		{ { .name = "90, both readers of a domain are dead",
		    .vms = 90,
		    .domains = 5,
		    .dead = 2,
		    .dead_domains = 1 },
		  2.5,
		  2.5 },
		{ { .name = "300, only two readers live",
		    .vms = 300,
		    .domains = 5,
		    .dead = 2,
		    .dead_domains = 4 },
		  2.5,
		  2.5 },
		{ { .name = "90, half of them turned away",
		    .vms = 90,
		    .domains = 3,
		    .turned_away = 0.5 },
		  4,
		  3 },
		{ { .name = "300, half of them turned away",
		    .vms = 300,
		    .domains = 5,
		    .turned_away = 0.5 },
		  4,
		  3 },
		{ { .name = "300, few are answered",
		    .vms = 300,
		    .domains = 5,
		    .turned_away = 0.95 },
		  4,
		  3 },
		{ { .name = "195, views of the readers differ",
		    .vms = 195,
		    .domains = 4,
		    .differing_views = 0.5 },
		  3,
		  3 },
		{ { .name = "90, a domain is cut off",
		    .vms = 90,
		    .domains = 3,
		    .cut_from = 10 * USEC_PER_SEC,
		    .cut_until = 20 * USEC_PER_SEC },
		  2.5,
		  2.5 },
	};
	constexpr usec_t kLength = 30 * USEC_PER_SEC;
	for (const auto &c : cases) {
		for (uint32_t seed = 1; seed <= 2; seed++) {
			const Fleet &f = c.fleet;
			Outcome o = Simulation(f, seed).play(kLength);
			double seconds = (double)kLength / USEC_PER_SEC;
			EXPECT_LE(o.oldest, kInForce)
				<< f.name << ", seed " << seed << ": passed "
				<< o.over << " times";
			EXPECT_LE((double)o.datagrams / seconds / f.vms,
				  c.per_vm)
				<< f.name << ", seed " << seed;
			EXPECT_LE((double)o.reads / seconds, c.reads)
				<< f.name << ", seed " << seed;
		}
	}
}

// Guards against ages that get shorter with each VM that tells them: where no
// datagram takes longer than the allowance, no age is below the truth.
TEST(Confirmation, AgesAreNotBelowTheTruth)
{
	const Fleet f = { .name = "90",
			  .vms = 90,
			  .domains = 3,
			  .slow = 0,
			  .dead = 2,
			  .dead_domains = 2 };
	Outcome o = Simulation(f, 1).play(30 * USEC_PER_SEC);
	EXPECT_LE(o.most_too_young, 0);
	EXPECT_GT(o.hops, 2U);
}
} // namespace
