#include <cstdlib>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "decide/change.h"
#include "decide/config.h"
}

namespace
{
const std::string kHash(64, 'a');

std::string team_object(const char *team)
{
	char name[CONFIG_OBJECT_NAME_BYTES];
	config_team_object(team, name);
	return name;
}

TEST(Config, ValidateObjects)
{
	const std::string ant = team_object("ant");
	const std::string key =
		"{\"hash\":\"" + kHash + "\",\"state\":\"live\"}";
	const std::string db = "{\"name\":\"d1\",\"address\":\"10.0.0.1:1\","
			       "\"domain\":\"a\",\"state\":\"live\","
			       "\"slots\":5,\"connections\":35}";
	const struct {
		std::string name;
		std::string body;
		// Text that the error message contains; nullptr: accepted.
		const char *place;
	} cases[] = {
		{ "config/defaults",
		  R"({"rate_per_s":10,"burst":5,"read_staleness_ms":0})",
		  nullptr },
		{ "config/defaults", R"({"rate_per_s":10,"burst":5})",
		  "needs" },
		{ "config/defaults",
		  R"({"rate_per_s":0,"burst":5,"read_staleness_ms":0})",
		  "rate_per_s: not from 1" },
		{ "config/defaults",
		  R"({"rate_per_s":1,"burst":"5","read_staleness_ms":0})",
		  "burst" },
		{ "config/defaults", "{", "line 1" },
		{ "config/defaults", "[]", "not an object" },
		{ "config/exceptions",
		  R"({"exceptions":{"e1":{"team":"ant","burst":9,"reason":"x"}}})",
		  nullptr },
		{ "config/exceptions",
		  R"({"exceptions":{"e1":{"team":"ant","burst":9}}})",
		  "e1: reason: missing" },
		{ "config/exceptions",
		  R"({"exceptions":{"e1":{"team":"ant","burst":9,"reason":" "}}})",
		  "e1: reason: missing" },
		{ "config/exceptions",
		  R"({"exceptions":{"e1":{"team":"ant","reason":"x"}}})",
		  "e1: sets no limit" },
		{ "config/exceptions",
		  R"({"exceptions":{"e1":{"team":"ant","burst":9,"reason":"x"},
		      "e2":{"team":"ant","burst":8,"reason":"y"}}})",
		  "e2: team ant" },
		{ ant,
		  R"({"teams":{"ant":{"services":["q"],"keys":{"k":)" + key +
			  "}}}}",
		  nullptr },
		{ ant, R"({"teams":{"ant":{"services":["q"],"weight":0}}})",
		  "ant: weight" },
		{ ant, R"({"teams":{"ant":{"services":["q/r"]}}})",
		  "ant: services: 0" },
		{ ant, R"({"teams":{"ant":{}}})", "ant: services" },
		{ ant,
		  R"({"teams":{"ant":{"services":[],
		      "keys":{"k":{"hash":"aa","state":"live"}}}}})",
		  "ant: keys: k: hash" },
		{ ant == "teams/00" ? "teams/01" : "teams/00",
		  R"({"teams":{"ant":{"services":[]}}})",
		  "ant: belongs to object" },
		{ "groups/q",
		  R"({"service":"q","term":0,"databases":[)" + db + "]}",
		  nullptr },
		{ "groups/r",
		  R"({"service":"q","term":0,"databases":[)" + db + "]}",
		  "names service" },
		{ "groups/q",
		  R"({"service":"q","term":0,"databases":[)" + db + "," + db +
			  "]}",
		  "same name" },
		{ "groups/q",
		  R"({"service":"q","term":3,"claimed":2,"databases":[)" + db +
			  "]}",
		  "claimed: below" },
		{ "groups/q",
		  R"({"service":"q","term":3,"primary":"d9","databases":[)" +
			  db + "]}",
		  "primary: no database" },
		{ "secrets/session", "{\"current\":\"" + kHash + "\"}",
		  nullptr },
		{ "secrets/session", R"({"current":"zz"})", "current" },
		{ "escrow/x", "anything", nullptr },
	};
	for (const auto &c : cases) {
		struct error e = {};
		int rc = config_check(c.name.c_str(), c.body.c_str(), &e);
		EXPECT_EQ(rc == 0, c.place == nullptr)
			<< c.name << c.body << e.message;
		if (c.place) {
			EXPECT_NE(std::string(e.message).find(c.place),
				  std::string::npos)
				<< e.message;
			EXPECT_EQ(e.step, STEP_CONFIG_CHECK);
		}
	}
}

TEST(Config, TooLarge)
{
	std::string body(CONFIG_OBJECT_MAX_BYTES + 1, ' ');
	struct error e = {};
	EXPECT_EQ(config_check("escrow/x", body.c_str(), &e), -1);
	EXPECT_EQ(e.code, ERR_TOO_LARGE);
}

TEST(Config, EffectiveLimits)
{
	const struct limits d = { 100, 50, 1000 };
	struct limits_patch p = {};
	const char *body =
		R"({"exceptions":{"e":{"team":"ant","burst":9,"reason":"x"}}})";
	ASSERT_TRUE(config_exception_find(body, "ant", &p));
	EXPECT_FALSE(config_exception_find(body, "bee", &p));
	ASSERT_TRUE(config_exception_find(body, "ant", &p));
	struct limits l = config_effective_limits(&d, &p);
	EXPECT_EQ(l.rate_per_s, 100u);
	EXPECT_EQ(l.burst, 9u);
	EXPECT_EQ(l.read_staleness_ms, 1000u);
}

struct change make(enum change_kind kind, const std::string &id)
{
	struct change c = {};
	c.kind = kind;
	snprintf(c.id, sizeof(c.id), "%s", id.c_str());
	snprintf(c.by, sizeof(c.by), "carol");
	snprintf(c.team, sizeof(c.team), "ant");
	return c;
}

// Applies a change and stores the result in "body"; returns the error code.
int change_body(const struct change &c, std::string *body)
{
	struct error e = {};
	char *out =
		change_apply(&c, body->empty() ? nullptr : body->c_str(), &e);
	if (!out)
		return e.code;
	*body = out;
	free(out);
	return ERR_NONE;
}

TEST(Change, KeysOfATeam)
{
	std::string body;
	struct change c = make(CHANGE_ADD_KEY, "c0");
	EXPECT_EQ(change_body(c, &body), ERR_NOT_FOUND);
	c = make(CHANGE_PUT_TEAM, "c1");
	c.n_services = 1;
	snprintf(c.services[0], NAME_MAX_BYTES, "q");
	EXPECT_EQ(change_body(c, &body), ERR_NONE);
	for (int i = 0; i <= TEAM_KEYS_MAX; i++) {
		c = make(CHANGE_ADD_KEY, "k" + std::to_string(i));
		snprintf(c.key_id, sizeof(c.key_id), "key%d", i);
		snprintf(c.key_hash, sizeof(c.key_hash), "%s", kHash.c_str());
		EXPECT_EQ(change_body(c, &body),
			  i < TEAM_KEYS_MAX ? ERR_NONE : ERR_UNPROCESSABLE)
			<< i;
	}
	struct change w = make(CHANGE_WITHDRAW_KEY, "w1");
	snprintf(w.key_id, sizeof(w.key_id), "key3");
	EXPECT_EQ(change_body(w, &body), ERR_NONE);
	EXPECT_EQ(change_body(c, &body), ERR_NONE)
		<< "replaces the withdrawn key";
	w = make(CHANGE_WITHDRAW_KEY, "w2");
	snprintf(w.key_id, sizeof(w.key_id), "key3");
	EXPECT_EQ(change_body(w, &body), ERR_NOT_FOUND);
	c = make(CHANGE_DELETE_TEAM, "d1");
	EXPECT_EQ(change_body(c, &body), ERR_NONE);
	EXPECT_EQ(change_body(c, &body), ERR_NONE)
		<< "the same change repeated";
	c = make(CHANGE_DELETE_TEAM, "d2");
	EXPECT_EQ(change_body(c, &body), ERR_NOT_FOUND);
}

TEST(Change, ExceptionNeedsReason)
{
	std::string body;
	struct change c = make(CHANGE_PUT_EXCEPTION, "c1");
	snprintf(c.exception_id, sizeof(c.exception_id), "e1");
	c.patch.has_burst = true;
	c.patch.limits.burst = 7;
	EXPECT_EQ(change_body(c, &body), ERR_UNPROCESSABLE);
	snprintf(c.reason, sizeof(c.reason), "weekly reconciliation");
	EXPECT_EQ(change_body(c, &body), ERR_NONE);
	EXPECT_NE(body.find("carol"), std::string::npos);
	c = make(CHANGE_DELETE_EXCEPTION, "c2");
	snprintf(c.exception_id, sizeof(c.exception_id), "e1");
	EXPECT_EQ(change_body(c, &body), ERR_NONE);
	c = make(CHANGE_DELETE_EXCEPTION, "c3");
	snprintf(c.exception_id, sizeof(c.exception_id), "e1");
	EXPECT_EQ(change_body(c, &body), ERR_NOT_FOUND);
}

TEST(Change, NewestThirtyTwoAreKept)
{
	std::string body;
	struct change c = make(CHANGE_PUT_DEFAULTS, "c0");
	EXPECT_EQ(change_body(c, &body), ERR_UNPROCESSABLE) << "missing fields";
	c.patch = { { 10, 5, 100 }, true, true, true };
	for (int i = 0; i < 40; i++) {
		snprintf(c.id, sizeof(c.id), "c%d", i);
		ASSERT_EQ(change_body(c, &body), ERR_NONE);
	}
	EXPECT_FALSE(change_took_effect(body.c_str(), "c7"));
	EXPECT_TRUE(change_took_effect(body.c_str(), "c8"));
	EXPECT_TRUE(change_took_effect(body.c_str(), "c39"));
	EXPECT_TRUE(change_took_effect(R"({"changes":["x"]})", "x"));
	EXPECT_FALSE(change_took_effect("broken", "x"));
}
} // namespace
