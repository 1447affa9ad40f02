#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "kernel/counters.h"
}

namespace
{
TEST(Counters, SumOverThreads)
{
	const uint64_t before = counter_sum(CTR_RETRIES);
	std::vector<std::thread> threads;
	for (int i = 0; i < 20; i++)
		threads.emplace_back([] {
			for (int j = 0; j < 1000; j++)
				counter_add(CTR_RETRIES, 2);
		});
	for (auto &t : threads)
		t.join();
	EXPECT_EQ(counter_sum(CTR_RETRIES) - before, 40000u);
}

TEST(Counters, PrintsHelpTypeUnitAndValue)
{
	char buf[16384];
	counter_add(CTR_PEER_SENT_BYTES, 7);
	const size_t len = counters_print(buf, sizeof(buf));
	const std::string text(buf, len);
	const std::string want =
		"# HELP gypsumcleat_peer_sent_bytes_total bytes sent to peers\n"
		"# TYPE gypsumcleat_peer_sent_bytes_total counter\n"
		"# UNIT gypsumcleat_peer_sent_bytes_total bytes\n"
		"gypsumcleat_peer_sent_bytes_total " +
		std::to_string(counter_sum(CTR_PEER_SENT_BYTES)) + "\n";
	EXPECT_NE(text.find(want), std::string::npos);
	size_t families = 0;
	for (size_t at = 0; (at = text.find("# TYPE ", at)) != text.npos; at++)
		families++;
	EXPECT_EQ(families, (size_t)CTR_COUNT);
}

TEST(Counters, PrintsOnlyWholeEntries)
{
	char buf[16384];
	for (size_t size = 1; size < 600; size++) {
		const size_t len = counters_print(buf, size);
		ASSERT_LT(len, size);
		ASSERT_EQ(buf[len], '\0');
		ASSERT_TRUE(len == 0 || buf[len - 1] == '\n');
	}
}
} // namespace
