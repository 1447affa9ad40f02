#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>

extern "C" {
#include "decide/keyring.h"
#include "plugins/admin_http.h"
#include "plugins/admin_request.h"
}

namespace
{
TEST(AdminRequest, ParsesTargets)
{
	std::string longest(NAME_MAX_BYTES - 1, 'n');
	const struct {
		const char *method;
		std::string path;
		enum error_code code;
		enum admin_resource resource;
		std::string team;
		const char *id;
	} cases[] = {
		{ "GET", "/admin/v1/teams", ERR_NONE, RESOURCE_TEAMS, "", "" },
		{ "PUT", "/admin/v1/teams/quotes", ERR_NONE, RESOURCE_TEAM,
		  "quotes", "" },
		{ "PUT", "/admin/v1/teams/" + longest, ERR_NONE, RESOURCE_TEAM,
		  longest, "" },
		{ "POST", "/admin/v1/teams/quotes/keys", ERR_NONE,
		  RESOURCE_KEYS, "quotes", "" },
		{ "DELETE", "/admin/v1/teams/quotes/keys/k1", ERR_NONE,
		  RESOURCE_KEY, "quotes", "k1" },
		{ "PUT", "/admin/v1/exceptions/e1", ERR_NONE,
		  RESOURCE_EXCEPTION, "", "e1" },
		{ "GET", "/admin/v1/defaults", ERR_NONE, RESOURCE_DEFAULTS, "",
		  "" },
		{ "GET", "/admin/v1/status", ERR_NONE, RESOURCE_STATUS, "",
		  "" },
		{ "DELETE", "/admin/v1/defaults", ERR_METHOD, RESOURCE_TEAMS,
		  "", "" },
		{ "POST", "/admin/v1/teams", ERR_METHOD, RESOURCE_TEAMS, "",
		  "" },
		{ "PATCH", "/admin/v1/teams/a", ERR_METHOD, RESOURCE_TEAMS, "",
		  "" },
		{ "GET", "/admin/v1/teams/a/locks", ERR_NOT_FOUND,
		  RESOURCE_TEAMS, "", "" },
		{ "GET", "/admin/v1/teams/", ERR_NOT_FOUND, RESOURCE_TEAMS, "",
		  "" },
		{ "GET", "/admin/v1/teams//keys", ERR_NOT_FOUND, RESOURCE_TEAMS,
		  "", "" },
		{ "GET", "/admin/v1/teams/a b", ERR_NOT_FOUND, RESOURCE_TEAMS,
		  "", "" },
		{ "GET", "/admin/v1/teams/..", ERR_NOT_FOUND, RESOURCE_TEAMS,
		  "", "" },
		{ "GET", "/admin/v1/teams/" + longest + "n", ERR_NOT_FOUND,
		  RESOURCE_TEAMS, "", "" },
		{ "GET", "/admin/v1/teams/a/keys/b/c", ERR_NOT_FOUND,
		  RESOURCE_TEAMS, "", "" },
		{ "GET", "/admin/v2/teams", ERR_NOT_FOUND, RESOURCE_TEAMS, "",
		  "" },
		{ "GET", "", ERR_NOT_FOUND, RESOURCE_TEAMS, "", "" },
	};
	for (const auto &c : cases) {
		struct admin_target t;
		struct error e = {};
		int rc = admin_target_parse(c.method, c.path.c_str(), &t, &e);
		EXPECT_EQ(rc == 0, c.code == ERR_NONE) << c.path;
		EXPECT_EQ(e.code, c.code) << c.path;
		if (rc != 0)
			continue;
		EXPECT_EQ(t.resource, c.resource) << c.path;
		EXPECT_EQ(std::string(t.team), c.team) << c.path;
		EXPECT_STREQ(t.id, c.id) << c.path;
	}
}

TEST(AdminRequest, ParsesConditions)
{
	const struct {
		const char *if_match;
		const char *if_none_match;
		bool good;
		bool has_version;
		uint64_t version;
		bool absent;
	} cases[] = {
		{ nullptr, nullptr, true, false, 0, false },
		{ "\"7\"", nullptr, true, true, 7, false },
		{ "\"0\"", nullptr, true, true, 0, false },
		{ nullptr, "*", true, false, 0, true },
		{ "\"7\"", "*", false, false, 0, false },
		{ "7", nullptr, false, false, 0, false },
		{ "\"7", nullptr, false, false, 0, false },
		{ "\"-7\"", nullptr, false, false, 0, false },
		{ "\"7\", \"8\"", nullptr, false, false, 0, false },
		{ "\"99999999999999999999\"", nullptr, false, false, 0, false },
		{ "*", nullptr, false, false, 0, false },
		{ "", nullptr, false, false, 0, false },
		{ nullptr, "\"7\"", false, false, 0, false },
	};
	for (const auto &c : cases) {
		struct admin_condition got;
		struct error e = {};
		int rc = admin_condition_parse(c.if_match, c.if_none_match,
					       &got, &e);
		const char *what = c.if_match ? c.if_match : "none";
		EXPECT_EQ(rc == 0, c.good) << what;
		if (rc != 0)
			continue;
		EXPECT_EQ(got.has_version, c.has_version) << what;
		EXPECT_EQ(got.version, c.version) << what;
		EXPECT_EQ(got.absent, c.absent) << what;
	}
}

int parse(const char *method, const char *path, const std::string &body,
	  struct change *c, struct error *e)
{
	struct admin_target t;
	*c = {};
	*e = {};
	EXPECT_EQ(admin_target_parse(method, path, &t, e), 0) << path;
	return admin_change_parse(&t, body.data(), body.size(), c, e);
}

TEST(AdminRequest, ParsesBodies)
{
	const char *team = "/admin/v1/teams/t";
	const char *keys = "/admin/v1/teams/t/keys";
	const char *defaults = "/admin/v1/defaults";
	const char *exception = "/admin/v1/exceptions/e";
	const struct {
		const char *method;
		const char *path;
		const char *body;
		enum error_code code;
	} cases[] = {
		{ "PUT", team, "{\"services\":[\"a\"],\"weight\":3}",
		  ERR_NONE },
		{ "PUT", team, "{\"services\":[]}", ERR_NONE },
		{ "PUT", team, "{}", ERR_UNPROCESSABLE },
		{ "PUT", team, "", ERR_UNPROCESSABLE },
		{ "PUT", team, "[]", ERR_BAD_REQUEST },
		{ "PUT", team, "{\"services\":[\"a\"],", ERR_BAD_REQUEST },
		{ "PUT", team, "{\"services\":[],\"services\":[]}",
		  ERR_BAD_REQUEST },
		{ "PUT", team, "{\"services\":[\"a b\"]}", ERR_UNPROCESSABLE },
		{ "PUT", team, "{\"services\":[1]}", ERR_UNPROCESSABLE },
		{ "PUT", team, "{\"services\":[],\"weight\":0}",
		  ERR_UNPROCESSABLE },
		{ "PUT", team, "{\"services\":[],\"wait\":1}",
		  ERR_UNPROCESSABLE },
		{ "DELETE", team, "", ERR_NONE },
		{ "POST", keys, "", ERR_NONE },
		{ "POST", keys, "{\"key_id\":\"k1\"}", ERR_NONE },
		{ "POST", keys, "{\"key_id\":\"k 1\"}", ERR_UNPROCESSABLE },
		{ "POST", keys, "{\"secret\":\"mine\"}", ERR_UNPROCESSABLE },
		{ "PUT", defaults, "{\"rate_per_s\":1,\"burst\":2}", ERR_NONE },
		{ "PUT", defaults, "{\"rate_per_s\":-1}", ERR_UNPROCESSABLE },
		{ "PUT", defaults, "{\"rate_per_s\":1.5}", ERR_UNPROCESSABLE },
		{ "PUT", defaults, "{\"rate_per_s\":4294967296}",
		  ERR_UNPROCESSABLE },
		{ "PUT", defaults, "{\"rates\":1}", ERR_UNPROCESSABLE },
		{ "PUT", exception,
		  "{\"team\":\"t\",\"reason\":\"fair\",\"burst\":2}",
		  ERR_NONE },
		{ "PUT", exception, "{\"team\":\"t\",\"burst\":2}",
		  ERR_UNPROCESSABLE },
		{ "PUT", exception,
		  "{\"team\":\"t\",\"reason\":\" \\n\",\"burst\":2}",
		  ERR_UNPROCESSABLE },
		{ "PUT", exception, "{\"reason\":\"fair\",\"burst\":2}",
		  ERR_UNPROCESSABLE },
	};
	for (const auto &c : cases) {
		struct change got;
		struct error e;
		int rc = parse(c.method, c.path, c.body, &got, &e);
		EXPECT_EQ(rc == 0, c.code == ERR_NONE) << c.body;
		EXPECT_EQ(e.code, c.code) << c.path << " " << c.body;
	}
}

TEST(AdminRequest, FillsInFields)
{
	struct change c;
	struct error e;
	ASSERT_EQ(parse("PUT", "/admin/v1/exceptions/e9",
			"{\"team\":\"t\",\"reason\":\"month end\","
			"\"rate_per_s\":50,\"read_staleness_ms\":9}",
			&c, &e),
		  0);
	EXPECT_EQ(c.kind, CHANGE_PUT_EXCEPTION);
	EXPECT_STREQ(c.exception_id, "e9");
	EXPECT_STREQ(c.team, "t");
	EXPECT_STREQ(c.reason, "month end");
	EXPECT_TRUE(c.patch.has_rate);
	EXPECT_FALSE(c.patch.has_burst);
	EXPECT_EQ(c.patch.limits.rate_per_s, 50u);
	EXPECT_EQ(c.patch.limits.read_staleness_ms, 9u);
}

TEST(AdminRequest, RandomMutationsOfBodiesSucceedOrSetAnError)
{
	std::mt19937 rng(5);
	const struct {
		const char *method;
		const char *path;
		std::string body;
	} seeds[] = {
		{ "PUT", "/admin/v1/teams/t",
		  "{\"services\":[\"a\",\"b\"],\"weight\":3}" },
		{ "PUT", "/admin/v1/exceptions/e",
		  "{\"team\":\"t\",\"reason\":\"fair\",\"burst\":2}" },
		{ "POST", "/admin/v1/teams/t/keys", "{\"key_id\":\"k1\"}" },
	};
	int good = 0;
	for (int i = 0; i < 30000; i++) {
		const auto &seed = seeds[i % 3];
		std::string s = seed.body;
		for (int n = 1 + (int)(rng() % 3); n > 0; n--) {
			size_t at = rng() % s.size();
			if (rng() % 2)
				s[at] = (char)rng();
			else
				s.insert(at, s.substr(rng() % s.size(), 7));
		}
		struct change c;
		struct error e;
		int rc = parse(seed.method, seed.path, s, &c, &e);
		EXPECT_EQ(rc == 0, e.code == ERR_NONE) << s;
		good += rc == 0;
	}
	EXPECT_GT(good, 0);
}

TEST(AdminKey, AcceptsOnlyTheOperatorsKey)
{
	uint8_t hash[KEY_HASH_BYTES];
	char hex[65] = "";
	key_hash("open sesame", hash);
	for (int i = 0; i < KEY_HASH_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", hash[i]);
	EXPECT_TRUE(admin_key_matches("Bearer open sesame", hex));
	EXPECT_FALSE(admin_key_matches("Bearer open sesam", hex));
	EXPECT_FALSE(admin_key_matches("Bearer ", hex));
	EXPECT_FALSE(admin_key_matches("open sesame", hex));
	EXPECT_FALSE(admin_key_matches("Basic open sesame", hex));
	EXPECT_FALSE(admin_key_matches("", hex));
	EXPECT_FALSE(admin_key_matches(nullptr, hex));
	EXPECT_FALSE(admin_key_matches("Bearer open sesame", ""));
	EXPECT_FALSE(admin_key_matches("Bearer open sesame", "00"));
	// A request without a key fails even if the hash is that of "".
	key_hash("", hash);
	for (int i = 0; i < KEY_HASH_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", hash[i]);
	EXPECT_FALSE(admin_key_matches(nullptr, hex));
}
} // namespace
