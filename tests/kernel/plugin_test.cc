#include <cstddef>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "kernel/plugin.h"
}

// A second copy of the registry, without the program's own plug-ins.
namespace registry
{
#include "kernel/plugin.c"
}

namespace
{
std::string calls;
bool fail_b;
bool busy_a;

template <char C> int start(struct kernel *, struct error *e)
{
	calls += std::string("+") + C;
	if (C == 'b' && fail_b)
		return error_set(e, ERR_SYSTEM, STEP_LISTEN, "127.0.0.1:1",
				 "address in use");
	return 0;
}

template <char C> void drain(struct kernel *)
{
	calls += std::string("~") + C;
}

template <char C> void stop(struct kernel *)
{
	calls += std::string("-") + C;
}

bool drained(struct kernel *)
{
	return !busy_a;
}

class Plugin : public testing::Test
{
      protected:
	void SetUp() override
	{
		calls.clear();
		fail_b = busy_a = false;
		registry::plugin_list = nullptr;
		registry::plugin_register(&b);
		registry::plugin_register(&c);
		registry::plugin_register(&a);
	}
	struct plugin a = { "a",     1,		start<'a'>, drain<'a'>,
			    drained, stop<'a'>, nullptr,    FORM_ANY };
	struct plugin b = { "b",     2,		start<'b'>, nullptr,
			    nullptr, stop<'b'>, nullptr,    FORM_HTTP };
	struct plugin c = { "c",     2,		start<'c'>, drain<'c'>,
			    nullptr, stop<'c'>, nullptr,    FORM_ANY };
	struct error e;
};

TEST_F(Plugin, StartsByRankAndStopsInReverse)
{
	ASSERT_EQ(registry::plugin_start_all(nullptr, &e), 0);
	EXPECT_EQ(calls, "+a+b+c");
	registry::plugin_drain_all(nullptr);
	EXPECT_EQ(calls, "+a+b+c~c~a");
	registry::plugin_stop_all(nullptr);
	EXPECT_EQ(calls, "+a+b+c~c~a-c-b-a");
	registry::plugin_stop_all(nullptr);
	EXPECT_EQ(calls, "+a+b+c~c~a-c-b-a");
}

TEST_F(Plugin, FailureStopsStartedPlugins)
{
	fail_b = true;
	ASSERT_EQ(registry::plugin_start_all(nullptr, &e), -1);
	EXPECT_EQ(calls, "+a+b-a");
	EXPECT_EQ(e.step, STEP_LISTEN);
	EXPECT_STREQ(e.peer, "127.0.0.1:1");
	registry::plugin_drain_all(nullptr);
	registry::plugin_stop_all(nullptr);
	EXPECT_EQ(calls, "+a+b-a");
}

TEST_F(Plugin, DrainedOnceAllPluginsAre)
{
	ASSERT_EQ(registry::plugin_start_all(nullptr, &e), 0);
	busy_a = true;
	EXPECT_FALSE(registry::plugin_drained_all(nullptr));
	busy_a = false;
	EXPECT_TRUE(registry::plugin_drained_all(nullptr));
	registry::plugin_stop_all(nullptr);
}

TEST_F(Plugin, SkipsPluginsOfAnotherForm)
{
	registry::plugin_set_form(FORM_SESSIONS);
	ASSERT_EQ(registry::plugin_start_all(nullptr, &e), 0);
	EXPECT_EQ(calls, "+a+c");
	registry::plugin_drain_all(nullptr);
	registry::plugin_stop_all(nullptr);
	EXPECT_EQ(calls, "+a+c~c~a-c-a");
	registry::plugin_set_form(FORM_HTTP);
}

// The program's own list is sorted too.
TEST(PluginList, IsSortedByRank)
{
	int rank = -1;
	for (struct plugin *p = plugin_first(); p; p = p->next) {
		EXPECT_LE(rank, p->rank) << p->name;
		rank = p->rank;
	}
}
} // namespace
