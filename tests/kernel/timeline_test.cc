#include <gtest/gtest.h>
#include <thread>
#include <vector>

extern "C" {
#include "kernel/timeline.h"
}

namespace
{
bool before(struct hlc a, struct hlc b)
{
	return a.wall_us != b.wall_us ? a.wall_us < b.wall_us
				      : a.count < b.count;
}

class Timeline : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct error e;
		ASSERT_EQ(timeline_open(16, &e), 0);
	}
	void TearDown() override
	{
		timeline_close();
	}
	struct timeline_event out[64];
	uint64_t lost = 0;
};

TEST_F(Timeline, ReadsFromANumberAndCountsOverwritten)
{
	const struct {
		int add;
		uint64_t since;
		size_t max;
		size_t read;
		uint64_t first;
		uint64_t lost;
	} cases[] = {
		{ 0, 0, 64, 0, 0, 0 },	   { 5, 0, 64, 5, 1, 0 },
		{ 0, 4, 64, 2, 4, 0 },	   { 0, 6, 64, 0, 0, 0 },
		{ 0, 1, 2, 2, 1, 0 },	   { 11, 0, 64, 16, 1, 0 },
		{ 1, 0, 64, 16, 2, 1 },	   { 20, 0, 64, 16, 22, 21 },
		{ 0, 10, 64, 16, 22, 12 }, { 0, 37, 64, 1, 37, 0 },
	};
	for (const auto &c : cases) {
		for (int i = 0; i < c.add; i++)
			timeline_add(EV_VM_START, "x=1");
		EXPECT_EQ(timeline_read(c.since, out, c.max, &lost), c.read);
		EXPECT_EQ(lost, c.lost);
		if (c.read) {
			EXPECT_EQ(out[0].number, c.first);
		}
	}
}

TEST_F(Timeline, StampsIncreaseAndFollowObservedOnes)
{
	struct hlc last = timeline_stamp();
	for (int i = 0; i < 1000; i++) {
		struct hlc at = timeline_stamp();
		EXPECT_TRUE(before(last, at));
		last = at;
	}
	const struct hlc ahead = { last.wall_us + 5 * USEC_PER_SEC, 9 };
	timeline_observe(ahead);
	EXPECT_TRUE(before(ahead, timeline_stamp()));
	timeline_observe({ 1, 1 });
	EXPECT_TRUE(before(ahead, timeline_stamp()));
}

TEST_F(Timeline, TruncatesLongTexts)
{
	timeline_add(EV_VM_STOP, std::string(5000, 'x').c_str());
	ASSERT_EQ(timeline_read(0, out, 64, &lost), 1u);
	EXPECT_EQ(strlen(out[0].text), TIMELINE_TEXT_BYTES - 1u);
}

TEST_F(Timeline, NumbersAreConsecutiveAcrossThreads)
{
	std::vector<std::thread> threads;
	for (int i = 0; i < 4; i++)
		threads.emplace_back([] {
			for (int j = 0; j < 500; j++)
				timeline_add(EV_VM_READY, "");
		});
	for (auto &t : threads)
		t.join();
	ASSERT_EQ(timeline_read(0, out, 64, &lost), 16u);
	EXPECT_EQ(lost, 2000u - 16u);
	for (int i = 1; i < 16; i++) {
		EXPECT_EQ(out[i].number, out[i - 1].number + 1);
		EXPECT_TRUE(before(out[i - 1].at, out[i].at));
	}
}

TEST(TimelineClosed, DropsEvents)
{
	struct timeline_event out;
	uint64_t lost = 7;
	timeline_add(EV_VM_START, "");
	EXPECT_EQ(timeline_read(0, &out, 1, &lost), 0u);
	EXPECT_EQ(lost, 0u);
}
} // namespace
