#include <gtest/gtest.h>
#include <memory>

extern "C" {
#include "load/load_stats.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(LoadStats, QuantileErrorIsAtMostOneSixteenth)
{
	const usec_t cases[] = { 0, 1, 15, 16, 17, 100, 999, 12345, 10000000 };
	for (usec_t t : cases) {
		struct histogram h = {};
		histogram_add(&h, t);
		histogram_add(&h, 4 * t + 100); // so that max is not t
		usec_t got = histogram_quantile(&h, 0.4);
		EXPECT_GE(got, t) << t;
		EXPECT_LE(got, t + t / 16 + 1) << t;
	}
	struct histogram h = {};
	EXPECT_EQ(histogram_quantile(&h, 0.5), 0);
	for (int i = 1; i <= 1000; i++)
		histogram_add(&h, i * kMs);
	EXPECT_NEAR((double)histogram_quantile(&h, 0.5), 500e3, 500e3 / 15);
	EXPECT_NEAR((double)histogram_quantile(&h, 0.99), 990e3, 990e3 / 15);
	EXPECT_EQ(histogram_quantile(&h, 1), 1000 * kMs);
}

TEST(LoadStats, ArrivalsWithinRateLimit)
{
	// Rate 10 per second, burst 2; times in ms.
	const struct {
		usec_t at;
		bool in_rate;
	} cases[] = {
		{ 1000, true },	 { 1000, true }, { 1000, false },
		{ 1050, false }, { 1100, true }, { 1150, false },
		{ 9000, true },	 { 9000, true }, { 9000, false },
	};
	auto stats = std::make_unique<struct load_stats>();
	auto o = std::make_unique<struct load_options>();
	o->team_rate = 10;
	o->team_burst = 2;
	int i = 0;
	for (const auto &c : cases)
		EXPECT_EQ(load_stats_take_token(stats.get(), o.get(), 0,
						c.at * kMs),
			  c.in_rate)
			<< i++;
	o->team_rate = 0;
	EXPECT_TRUE(load_stats_take_token(stats.get(), o.get(), 0, 9000 * kMs));
}

TEST(LoadStats, RefusalsWithinRateLimit)
{
	// Rate 10 per second, burst 2: "c" charges an attempt, "r" refunds one.
	const struct {
		const char *name;
		const char *calls;
		bool expected; // the last refusal was within the rate
	} cases[] = {
		{ "nothing admitted", "cr", true },
		{ "all refused", "crcrcr", true },
		{ "burst admitted", "cccr", false },
		{ "one token left", "ccr", true },
		{ "refused attempts take none", "crcrcccr", false },
	};
	for (const auto &c : cases) {
		auto stats = std::make_unique<struct load_stats>();
		auto o = std::make_unique<struct load_options>();
		bool within = false;
		o->team_rate = 10;
		o->team_burst = 2;
		for (const char *s = c.calls; *s; s++) {
			if (*s == 'c')
				load_stats_charge_attempt(stats.get(), o.get(),
							  0, kMs);
			else
				within = load_stats_refund_attempt(
					stats.get(), o.get(), 0, kMs);
		}
		EXPECT_EQ(within, c.expected) << c.name;
	}
}

TEST(LoadStats, ShareServedAndLongestGap)
{
	auto stats = std::make_unique<struct load_stats>();
	auto o = std::make_unique<struct load_options>();
	o->n_services = 2;
	for (int i = 0; i < 10; i++)
		load_stats_count_offered(stats.get(), 0, i < 4);
	EXPECT_EQ(load_stats_share_served(stats.get(), 0), 0);
	EXPECT_EQ(load_stats_share_served(stats.get(), 1), 1)
		<< "offered nothing";
	load_stats_count_result(stats.get(), 0, LOAD_PRICE, RESULT_DONE);
	load_stats_count_result(stats.get(), 0, LOAD_PRICE, RESULT_OVER_RATE);
	EXPECT_EQ(load_stats_share_served(stats.get(), 0), 0.25);
	for (int i = 0; i < 6; i++)
		load_stats_count_result(stats.get(), 0, LOAD_PRICE,
					RESULT_DONE);
	EXPECT_EQ(load_stats_share_served(stats.get(), 0), 1)
		<< "never more than 1";
	for (usec_t at : { 100, 150, 900, 880, 1000 })
		load_stats_write_done(stats.get(), 0, at * kMs);
	EXPECT_EQ(stats->service[0].longest_gap, 750 * kMs);
	load_stats_finish(stats.get(), o.get(), 2000 * kMs);
	EXPECT_EQ(stats->service[0].longest_gap, 1000 * kMs) << "up to the end";
	EXPECT_EQ(stats->service[1].longest_gap, 0) << "never written to";
}
} // namespace
