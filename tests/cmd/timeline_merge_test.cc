#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "cmd/timeline_merge.h"
}

namespace
{
std::string event_json(int number, long long wall, int count,
		       const std::string &text = "x=1")
{
	return "{\"number\":" + std::to_string(number) +
	       ",\"wall_us\":" + std::to_string(wall) +
	       ",\"count\":" + std::to_string(count) +
	       ",\"event\":1001,\"name\":\"vm_start\",\"text\":\"" + text +
	       "\"}";
}

std::string page_json(const std::string &vm, int lost,
		      const std::string &events)
{
	return "{\"vm\":\"" + vm +
	       "\",\"domain\":\"a\",\"lost\":" + std::to_string(lost) +
	       ",\"next\":9,\"events\":[" + events + "]}";
}

int add_page(struct timeline_merge *m, const std::string &text)
{
	json_t *root = json_loads(text.c_str(), 0, nullptr);
	const int rc = timeline_merge_add(m, root);
	json_decref(root);
	return rc;
}

std::string sort_and_print(struct timeline_merge *m)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);
	timeline_merge_sort(m);
	timeline_merge_print(m, f);
	fclose(f);
	std::string out(text, len);
	free(text);
	timeline_merge_free(m);
	return out;
}

TEST(TimelineMerge, OrdersByStampThenVmAndReportsLostEvents)
{
	struct timeline_merge m = {};
	ASSERT_EQ(add_page(&m, page_json("vm-b", 0,
					 event_json(1, 1000000, 0) + "," +
						 event_json(2, 3000000, 2))),
		  0);
	ASSERT_EQ(
		add_page(&m, page_json("vm-a", 4,
				       event_json(5, 1000000, 0) + "," +
					       event_json(6, 3000000, 1) + "," +
					       event_json(7, 3000000, 3))),
		0);
	ASSERT_EQ(add_page(&m, page_json("vm-a", 2,
					 event_json(8, 1780000000123456, 0))),
		  0);
	EXPECT_EQ(sort_and_print(&m),
		  "# vm-a: 6 events lost\n"
		  "1970-01-01T00:00:01.000000Z+0 vm-a #5 1001 vm_start x=1\n"
		  "1970-01-01T00:00:01.000000Z+0 vm-b #1 1001 vm_start x=1\n"
		  "1970-01-01T00:00:03.000000Z+1 vm-a #6 1001 vm_start x=1\n"
		  "1970-01-01T00:00:03.000000Z+2 vm-b #2 1001 vm_start x=1\n"
		  "1970-01-01T00:00:03.000000Z+3 vm-a #7 1001 vm_start x=1\n"
		  "2026-05-28T20:26:40.123456Z+0 vm-a #8 1001 vm_start x=1\n");
}

TEST(TimelineMerge, RefusesMalformedPages)
{
	const std::string cases[] = {
		"{}",
		"[]",
		"{\"vm\":\"a\",\"lost\":0}",
		"{\"vm\":\"a\",\"lost\":0,\"events\":{}}",
		"{\"vm\":\"a\",\"lost\":-1,\"events\":[]}",
		"{\"vm\":7,\"lost\":0,\"events\":[]}",
		page_json("a", 0, "7"),
		page_json("a", 0, event_json(-1, 0, 0)),
		page_json("a", 0, event_json(1, 0, -1)),
	};
	for (const auto &c : cases) {
		struct timeline_merge m = {};
		EXPECT_EQ(add_page(&m, c), -1) << c;
		timeline_merge_free(&m);
	}
}

TEST(TimelineMerge, CutsAndSanitizesTexts)
{
	struct timeline_merge m = {};
	ASSERT_EQ(
		add_page(&m, page_json(std::string(500, 'v'), 0,
				       event_json(1, 0, 0,
						  "a\\nb" + std::string(5000,
									'x')))),
		0);
	const std::string out = sort_and_print(&m);
	EXPECT_NE(out.find("a?bxx"), out.npos);
	EXPECT_LT(out.size(), 400u);
	EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 1);
}
} // namespace
