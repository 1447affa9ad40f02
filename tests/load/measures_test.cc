#include <gtest/gtest.h>
#include <memory>

extern "C" {
#include "load/measures.h"
}

namespace
{
constexpr usec_t kMs = USEC_PER_MSEC;

TEST(Measures, HistogramIsWithinASixteenth)
{
	const usec_t cases[] = { 0, 1, 15, 16, 17, 100, 999, 12345, 10000000 };
	for (usec_t t : cases) {
		struct histogram h = {};
		histogram_add(&h, t);
		histogram_add(&h, 4 * t + 100); // so that the top is not t
		usec_t got = histogram_at(&h, 0.4);
		EXPECT_GE(got, t) << t;
		EXPECT_LE(got, t + t / 16 + 1) << t;
	}
	struct histogram h = {};
	EXPECT_EQ(histogram_at(&h, 0.5), 0);
	for (int i = 1; i <= 1000; i++)
		histogram_add(&h, i * kMs);
	EXPECT_NEAR((double)histogram_at(&h, 0.5), 500e3, 500e3 / 15);
	EXPECT_NEAR((double)histogram_at(&h, 0.99), 990e3, 990e3 / 15);
	EXPECT_EQ(histogram_at(&h, 1), 1000 * kMs);
}

TEST(Measures, ArrivalsWithinTheRate)
{
	// Rate 10 a second, burst 2.
	const struct {
		usec_t at;
		bool in_rate;
	} cases[] = {
		{ 1000, true },	 { 1000, true }, { 1000, false },
		{ 1050, false }, { 1100, true }, { 1150, false },
		{ 9000, true },	 { 9000, true }, { 9000, false },
	};
	auto m = std::make_unique<struct measures>();
	auto o = std::make_unique<struct load_options>();
	o->team_rate = 10;
	o->team_burst = 2;
	int i = 0;
	for (const auto &c : cases)
		EXPECT_EQ(measures_take(m.get(), o.get(), 0, c.at * kMs),
			  c.in_rate)
			<< i++;
	o->team_rate = 0;
	EXPECT_TRUE(measures_take(m.get(), o.get(), 0, 9000 * kMs));
}

TEST(Measures, RefusalsWithinTheRate)
{
	// Rate 10 a second, burst 2: "c" charges, "r" is refused.
	const struct {
		const char *name;
		const char *steps;
		bool last; // was the last refusal within the rate?
	} cases[] = {
		{ "nothing admitted", "cr", true },
		{ "all refused", "crcrcr", true },
		{ "burst admitted", "cccr", false },
		{ "a place left", "ccr", true },
		{ "refused ones take none", "crcrcccr", false },
	};
	for (const auto &c : cases) {
		auto m = std::make_unique<struct measures>();
		auto o = std::make_unique<struct load_options>();
		bool within = false;
		o->team_rate = 10;
		o->team_burst = 2;
		for (const char *s = c.steps; *s; s++) {
			if (*s == 'c')
				measures_charge(m.get(), o.get(), 0, kMs);
			else
				within = measures_refuse(m.get(), o.get(), 0,
							 kMs);
		}
		EXPECT_EQ(within, c.last) << c.name;
	}
}

TEST(Measures, SharesAndGaps)
{
	auto m = std::make_unique<struct measures>();
	auto o = std::make_unique<struct load_options>();
	o->n_services = 2;
	for (int i = 0; i < 10; i++)
		measures_offer(m.get(), 0, i < 4);
	EXPECT_EQ(measures_share(m.get(), 0), 0);
	EXPECT_EQ(measures_share(m.get(), 1), 1) << "offered nothing";
	measures_end(m.get(), 0, LOAD_PRICE, END_DONE);
	measures_end(m.get(), 0, LOAD_PRICE, END_OVER_RATE);
	EXPECT_EQ(measures_share(m.get(), 0), 0.25);
	for (int i = 0; i < 6; i++)
		measures_end(m.get(), 0, LOAD_PRICE, END_DONE);
	EXPECT_EQ(measures_share(m.get(), 0), 1) << "more than entitled to";
	for (usec_t at : { 100, 150, 900, 880, 1000 })
		measures_write_done(m.get(), 0, at * kMs);
	EXPECT_EQ(m->service[0].gap, 750 * kMs);
	measures_close(m.get(), o.get(), 2000 * kMs);
	EXPECT_EQ(m->service[0].gap, 1000 * kMs) << "up to the end";
	EXPECT_EQ(m->service[1].gap, 0) << "never written to";
}
} // namespace
