#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <sstream>

extern "C" {
#include "kernel/settings.h"
}

namespace
{
const char *const kHash =
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

// Returns a settings file's JSON with the required keys, followed by the
// members in "more".
std::string with(const std::string &more)
{
	return std::string("{\"vm\":\"vm-1\",\"domain\":\"a\","
			   "\"region\":\"kr-south\","
			   "\"caller_listen\":\"127.0.0.1:0\","
			   "\"admin_listen\":\"127.0.0.1:0\","
			   "\"peer_listen\":\"[::1]:0\","
			   "\"platform\":\"127.0.0.1:7000\","
			   "\"operator_key_hash\":\"") +
	       kHash + "\"" + more + "}";
}

int parse(const std::string &json, struct settings *s,
	  struct settings_report *r)
{
	return settings_parse(s, json.data(), json.size(), "s.json", r);
}

TEST(Settings, DefaultsAndValues)
{
	struct settings s;
	struct settings_report r;
	ASSERT_EQ(
		parse(with(",\"probe_ms\":50,\"log_level\":\"debug\""), &s, &r),
		0)
		<< r.text;
	EXPECT_STREQ(s.vm, "vm-1");
	EXPECT_STREQ(s.peer_listen, "[::1]:0");
	EXPECT_STREQ(s.operator_key_hash, kHash);
	EXPECT_EQ(s.probe_ms, 50u);
	EXPECT_EQ(s.log_level, LOG_DEBUG);
	EXPECT_EQ(s.body_max_bytes, 65536u);
	EXPECT_EQ(s.caller_threads, 4u);
}

TEST(Settings, PeersAndTheirSecret)
{
	struct settings s;
	struct settings_report r;
	ASSERT_EQ(parse(with(std::string(",\"peer_secret\":\"") + kHash +
			     "\",\"peers\":[\"10.0.0.1:7\",\"[::1]:8\"]"),
			&s, &r),
		  0)
		<< r.text;
	EXPECT_STREQ(s.peer_secret, kHash);
	ASSERT_EQ(s.peers.n, 2u);
	EXPECT_STREQ(s.peers.address[1], "[::1]:8");
	std::string many = ",\"peers\":[\"10.0.0.1:7\"";
	for (int i = 0; i < SEED_PEERS_MAX; i++)
		many += ",\"10.0.0.1:7\"";
	for (const std::string &more :
	     { std::string(",\"peers\":\"10.0.0.1:7\""),
	       std::string(",\"peers\":[\"vm-1:7\"]"),
	       std::string(",\"peers\":[\"10.0.0.1:0\"]"),
	       std::string(",\"peers\":[7]"), many + "]",
	       std::string(",\"peer_secret\":\"12\"") })
		EXPECT_EQ(parse(with(more), &s, &r), -1) << more;
}

// Guards against a failure domain whose region is guessed.
TEST(Settings, RegionsOfDomains)
{
	struct settings s;
	struct settings_report r;
	ASSERT_EQ(parse(with(",\"domains\":{\"z-7\":\"east\",\"z-8\":"
			     "\"west\"}"),
			&s, &r),
		  0)
		<< r.text;
	EXPECT_STREQ(settings_region(&s, "z-8"), "west");
	EXPECT_EQ(settings_region(&s, "z-9"), nullptr);
	EXPECT_STREQ(settings_region(&s, s.domain), s.region);
	for (const char *more :
	     { ",\"domains\":[\"z-7\"]", ",\"domains\":{\"z-7\":7}",
	       ",\"domains\":{\"\":\"east\"}", ",\"domains\":{\"z-7\":\"\"}" })
		EXPECT_EQ(parse(with(more), &s, &r), -1) << more;
}

TEST(Settings, EachFailureNamesFileKeyValueAndBound)
{
	const struct {
		const char *more;
		const char *line;
	} cases[] = {
		{ ",\"probe_ms\":4",
		  "s.json: probe_ms: 4: must be a whole number from 5 to "
		  "10000\n" },
		{ ",\"probe_ms\":4294967296",
		  "s.json: probe_ms: 4294967296: must be a whole number from "
		  "5 to 10000\n" },
		{ ",\"probe_ms\":-1",
		  "s.json: probe_ms: -1: must be a whole number from 5 to "
		  "10000\n" },
		{ ",\"probe_ms\":50.0",
		  "s.json: probe_ms: 50.0: must be a whole number from 5 to "
		  "10000\n" },
		{ ",\"probe_ms\":null",
		  "s.json: probe_ms: null: must be a whole number from 5 to "
		  "10000\n" },
		{ ",\"probe_ms\":\"50\"",
		  "s.json: probe_ms: \"50\": must be a whole number from 5 to "
		  "10000\n" },
		{ ",\"prob_ms\":50,\"x\":{}",
		  "s.json: prob_ms: 50: must be a known key\n"
		  "s.json: x: {}: must be a known key\n" },
		{ ",\"log_level\":\"all\"",
		  "s.json: log_level: \"all\": must be \"error\", \"warn\", "
		  "\"info\" or \"debug\"\n" },
		{ ",\"deadline_default_ms\":700,\"deadline_max_ms\":600",
		  "s.json: deadline_default_ms: 700: must be at most "
		  "deadline_max_ms, 600\n" },
		{ ",\"probe_ms\":900,\"suspect_ms\":900",
		  "s.json: probe_ms: 900: must be less than suspect_ms, "
		  "900\n" },
		{ ",\"gossip_ms\":5000",
		  "s.json: gossip_ms: 5000: must be less than keys_fresh_ms, "
		  "3000\n" },
		{ ",\"drain_max_ms\":1",
		  "s.json: drain_notice_ms: 2000: must be at most "
		  "drain_max_ms, 1\n" },
	};
	for (const auto &c : cases) {
		struct settings s;
		struct settings_report r;
		EXPECT_EQ(parse(with(c.more), &s, &r), -1) << c.more;
		EXPECT_STREQ(r.text, c.line);
	}
}

TEST(Settings, StringsAreChecked)
{
	const struct {
		const char *key;
		const char *value;
		bool good;
	} cases[] = {
		{ "vm", "\"a.b_c-9\"", true },
		{ "vm", "\"\"", false },
		{ "vm", "\"-a\"", false },
		{ "vm", "\"a b\"", false },
		{ "vm", "\"a\\u0000b\"", false },
		{ "vm", "7", false },
		{ "caller_listen", "\"0.0.0.0:0\"", true },
		{ "caller_listen", "\"[::]:65535\"", true },
		{ "caller_listen", "\"::1\"", false },
		{ "caller_listen", "\"127.0.0.1\"", false },
		{ "caller_listen", "\"127.0.0.1:\"", false },
		{ "caller_listen", "\"127.0.0.1:65536\"", false },
		{ "caller_listen", "\"127.0.0.1:-1\"", false },
		{ "caller_listen", "\"127.0.0.1:1x\"", false },
		{ "caller_listen", "\"localhost:80\"", false },
		{ "platform", "\"127.0.0.1:0\"", false },
		{ "platform", "\"127.0.0.1:00\"", false },
		{ "platform", "\"127.0.0.1:1\"", true },
		{ "operator_key_hash", "\"abc\"", false },
	};
	for (const auto &c : cases) {
		struct settings s;
		struct settings_report r;
		std::string json = with("");
		const size_t at = json.find("\"" + std::string(c.key) + "\":");
		const size_t from = json.find(':', at) + 1;
		const size_t to = json.find_first_of(",}", from);
		json.replace(from, to - from, c.value);
		EXPECT_EQ(parse(json, &s, &r), c.good ? 0 : -1)
			<< c.key << " " << c.value << " " << r.text;
		if (!c.good) {
			EXPECT_EQ(r.n, 1u) << r.text;
			EXPECT_EQ(std::string(r.text).find(
					  std::string("s.json: ") + c.key),
				  0u);
		}
	}
}

TEST(Settings, ReportsAllFailures)
{
	struct settings s;
	struct settings_report r;
	const char *json = "{\"vm\":\"a\",\"vm\":\"-\",\"shards\":0,\"q\":1}";
	ASSERT_EQ(parse(json, &s, &r), -1);
	// Duplicate key, its last value, seven missing, one bound, one unknown.
	EXPECT_EQ(r.n, 11u) << r.text;
	EXPECT_NE(strstr(r.text, "at most once"), nullptr);
	EXPECT_NE(strstr(r.text, "s.json: platform: missing"), nullptr);
}

TEST(Settings, NeverShowsTheKeyHash)
{
	struct settings s;
	struct settings_report r;
	ASSERT_EQ(parse("{\"operator_key_hash\":\"secret\"}", &s, &r), -1);
	EXPECT_EQ(strstr(r.text, "secret"), nullptr);
}

TEST(Settings, InvalidJson)
{
	for (const char *json : { "", "{", "[]", "7", "{\"vm\":}", "\xff" }) {
		struct settings s;
		struct settings_report r;
		EXPECT_EQ(parse(json, &s, &r), -1) << json;
		EXPECT_EQ(r.n, 1u) << json;
	}
}

// Random input is rejected, or parsed to values within their bounds.
TEST(Settings, SeededMutations)
{
	std::mt19937 rng(20261203);
	const std::string good =
		with(",\"probe_ms\":50,\"log_level\":\"info\"");
	for (int i = 0; i < 20000; i++) {
		std::string json = good;
		for (unsigned n = 1 + rng() % 4; n > 0; n--) {
			const size_t at = rng() % json.size();
			switch (rng() % 3) {
			case 0:
				json[at] = (char)rng();
				break;
			case 1:
				json.erase(at, 1 + rng() % 9);
				break;
			default:
				json.insert(at, json.substr(rng() % json.size(),
							    rng() % 20));
			}
			if (json.empty())
				json = "{";
		}
		struct settings s;
		struct settings_report r;
		if (parse(json, &s, &r) == 0) {
			ASSERT_LE(s.probe_ms, 10000u);
			ASSERT_GE(s.probe_ms, 5u);
			ASSERT_EQ(strlen(s.operator_key_hash), 64u);
		} else {
			ASSERT_GT(r.n, 0u);
			ASSERT_LT(strlen(r.text), sizeof(r.text));
		}
	}
}

TEST(Settings, ManualDocumentsEveryKey)
{
	std::ifstream page("man/gypsumcleat.json.5");
	ASSERT_TRUE(page) << "run from the root of the tree";
	std::stringstream text;
	text << page.rdbuf();
	for (size_t i = 0; settings_key(i); i++)
		EXPECT_NE(text.str().find(std::string(".It Cm ") +
					  settings_key(i) + "\n"),
			  std::string::npos)
			<< settings_key(i);
}
} // namespace
