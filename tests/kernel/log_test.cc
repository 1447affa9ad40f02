#include <fstream>
#include <gtest/gtest.h>
#include <regex.h>
#include <sstream>

extern "C" {
#include "kernel/log.h"
#include "kernel/timeline.h"
}

namespace
{
bool matches(const std::string &text, const char *pattern)
{
	regex_t re;
	EXPECT_EQ(regcomp(&re, pattern, REG_EXTENDED | REG_NOSUB), 0);
	const bool found = regexec(&re, text.c_str(), 0, nullptr, 0) == 0;
	regfree(&re);
	return found;
}

class Log : public testing::Test
{
      protected:
	void open(enum log_level level)
	{
		struct error e;
		ASSERT_EQ(timeline_open(16, &e), 0);
		ASSERT_EQ(log_open("vm-1", level, &e), 0);
		testing::internal::CaptureStderr();
	}
	std::string close()
	{
		std::string text = testing::internal::GetCapturedStderr();
		log_close();
		timeline_close();
		return text;
	}
};

TEST_F(Log, WritesOneLinePerEvent)
{
	open(LOG_INFO);
	log_event(EV_VM_START, "address=%s fields=%d", "127.0.0.1:80", 3);
	const std::string line = close();
	EXPECT_TRUE(matches(line, "^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}\\."
				  "[0-9]{6}Z INFO 1001 vm_start vm=vm-1 "
				  "address=127\\.0\\.0\\.1:80 fields=3\n$"))
		<< line;
}

TEST_F(Log, ReplacesControlCharacters)
{
	open(LOG_INFO);
	log_event(EV_VM_START, "name=%s", "a\nb\r\033[1m");
	const std::string line = close();
	EXPECT_NE(line.find("name=a?b??[1m\n"), std::string::npos);
	EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
}

TEST_F(Log, LevelFiltersEvents)
{
	const struct {
		enum log_level level;
		size_t lines;
		size_t events;
	} cases[] = {
		{ LOG_ERROR, 1, 3 },
		{ LOG_WARN, 2, 3 },
		{ LOG_INFO, 3, 3 },
		{ LOG_DEBUG, 4, 4 },
	};
	for (const auto &c : cases) {
		struct timeline_event out[16];
		uint64_t lost;
		open(c.level);
		log_event(EV_VM_FAIL, "x=1");
		log_event(EV_DB_LOST, "x=1");
		log_event(EV_VM_READY, "x=1");
		log_event(EV_TEAM_REFUSED, "x=1");
		EXPECT_EQ(timeline_read(0, out, 16, &lost), c.events);
		const std::string text = close();
		EXPECT_EQ((size_t)std::count(text.begin(), text.end(), '\n'),
			  c.lines);
	}
}

TEST_F(Log, WritesAnErrorWithCodeStepAndPeer)
{
	struct error err;
	error_set(&err, ERR_TIMEOUT, STEP_PROBE, "10.0.0.1:5", "no reply");
	open(LOG_INFO);
	log_error(EV_DB_LOST, &err);
	EXPECT_NE(close().find("code=timeout step=probe peer=10.0.0.1:5 "
			       "message=\"no reply\""),
		  std::string::npos);
}

// Reads "| number | name | level | text |" lines of the catalogue.
TEST(LogCatalogue, MatchesTheTable)
{
	std::ostringstream want;
	std::string have;
	std::string line;
	std::ifstream doc("docs/EVENTS.md");
	ASSERT_TRUE(doc) << "run from the root of the tree";
#define X(number, id, level, text)                                          \
	want << "| " << (number) << " | `" << event_name(EV_##id) << "` | " \
	     << #level << " | " << event_text(EV_##id) << " |\n";
	EVENT_TABLE(X)
#undef X
	while (std::getline(doc, line)) {
		if (matches(line, "^\\| [0-9]"))
			have += line + "\n";
	}
	EXPECT_EQ(have, want.str());
}
} // namespace
