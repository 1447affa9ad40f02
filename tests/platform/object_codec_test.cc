#include <gtest/gtest.h>
#include <cstdlib>
#include <string>
#include <vector>

#include "../mutate.h"

extern "C" {
#include "platform/object_codec.h"
#include "proxy/protocol.h"
}

namespace
{
const char *const kConfig = R"({"version":7,
"routes":[
{"name":"b","host":"xapu","kind":"bounded_staleness","timeoutMs":3000,
"targetLatencyMs":800,"priority":2,"service":"huvo","maxStalenessMs":1500,
"public":false},
{"name":"a","host":"lepu","kind":"primary","timeoutMs":1000,
"targetLatencyMs":200,"priority":1,"service":"huvo","public":true},
{"name":"c","host":"fiti","kind":"someday","service":"huvo"},
{"name":"d","host":7,"kind":"primary","service":"huvo"}],
"services":[{"name":"huvo","maxConns":34,"syncReplicas":1}],
"limits":{"txIdleMs":3000},
"tenants":[{"name":"nypu","apiKeys":["k2","k1",5],"ratePerS":121,"burst":60},
{"name":"kafi","apiKeys":["k3"],"ratePerS":10}]})";

std::string object(const std::string &name, uint64_t revision,
		   const std::string &spec)
{
	return "{\"meta\":{\"name\":\"" + name +
	       "\",\"revision\":" + std::to_string(revision) +
	       "},\"spec\":" + spec + "}";
}

TEST(ObjectCodec, Configuration)
{
	struct error e;
	error_clear(&e);
	uint64_t revision = 0;
	std::string list = "{\"items\":[" + object("main", 12, kConfig) +
			   "],\"more\":false,\"currentRev\":15}";
	struct catalog *c = object_codec_catalog(list.c_str(), &revision, &e);
	ASSERT_NE(c, nullptr) << e.message;
	EXPECT_EQ(revision, 15u);
	EXPECT_EQ(c->version, 7u);
	EXPECT_EQ(c->revision, 12u);
	EXPECT_EQ(c->transaction_idle_ms, 3000u);
	const struct catalog_route *r = catalog_route(c, "xapu");
	ASSERT_NE(r, nullptr);
	EXPECT_EQ(r->consistency, READ_BOUNDED_STALENESS);
	EXPECT_EQ(r->max_staleness_ms, 1500u);
	EXPECT_FALSE(r->is_public);
	EXPECT_TRUE(catalog_route(c, "lepu")->is_public);
	// Reads on a route of an unknown kind are never stale.
	EXPECT_EQ(catalog_route(c, "fiti")->consistency, READ_PRIMARY);
	EXPECT_EQ(catalog_route(c, "none"), nullptr);
	EXPECT_EQ(catalog_service(c, "huvo")->max_connections, 34u);
	EXPECT_STREQ(catalog_team(c, "k1")->name, "nypu");
	EXPECT_STREQ(catalog_team(c, "k3")->name, "kafi");
	EXPECT_EQ(catalog_team(c, "k3")->burst, 10u);
	EXPECT_EQ(catalog_team(c, "k4"), nullptr);
	catalog_destroy(c);
}

// Guards against a bound to regions that is lost in decoding: what can't be
// read allows nothing.
TEST(ObjectCodec, HomesAndColdRate)
{
	const struct {
		const char *homes;
		bool east;
		bool west;
	} cases[] = {
		{ "", true, true },
		{ ",\"homes\":null", true, true },
		{ ",\"homes\":[]", true, true },
		{ ",\"homes\":[\"east\"]", true, false },
		{ ",\"homes\":[\"east\",\"west\"]", true, true },
		{ ",\"homes\":[7,\"west\"]", false, true },
		{ ",\"homes\":\"east\"", false, false },
	};
	for (const auto &c : cases) {
		std::string spec =
			R"({"version":7,"routes":[{"host":"xapu","service":"huvo")" +
			std::string(c.homes) +
			R"(}],"services":[{"name":"huvo","coldPerS":2.5}],)"
			R"("tenants":[{"name":"nypu","apiKeys":["k1"])" +
			std::string(c.homes) + "}]}";
		std::string list = "{\"items\":[" + object("main", 12, spec) +
				   "],\"currentRev\":15}";
		struct error e;
		error_clear(&e);
		uint64_t revision = 0;
		struct catalog *got =
			object_codec_catalog(list.c_str(), &revision, &e);
		ASSERT_NE(got, nullptr) << c.homes;
		for (const struct homes *h :
		     { &catalog_route(got, "xapu")->homes,
		       &catalog_team(got, "k1")->homes }) {
			EXPECT_EQ(homes_allow(h, "east"), c.east) << c.homes;
			EXPECT_EQ(homes_allow(h, "west"), c.west) << c.homes;
		}
		EXPECT_EQ(got->services[0].cold_milli_per_s, 2500u);
		catalog_destroy(got);
	}
}

TEST(ObjectCodec, ConfigurationWatch)
{
	std::string events =
		"{\"events\":[{\"deleted\":false,\"object\":" +
		object("main", 20, kConfig) +
		"},{\"deleted\":false,\"object\":" + object("main", 19, "{}") +
		"},{\"deleted\":true,\"object\":" +
		object("main", 21, kConfig) +
		"},{\"deleted\":false,\"object\":" + object("other", 22, "{}") +
		"}],\"currentRev\":22}";
	const struct {
		const char *name;
		std::string reply;
		uint64_t revision; // 0: no catalogue is returned
		bool fails;
	} cases[] = {
		{ "newest that is not deleted", events, 20, false },
		{ "nothing new", "{\"events\":[],\"currentRev\":9}", 0, false },
		{ "not an object", "[]", 0, true },
		{ "not JSON", "{", 0, true },
		{ "malformed spec",
		  "{\"items\":[" + object("main", 3, "{\"routes\":5}") +
			  "],\"currentRev\":9}",
		  0, true },
	};
	for (const auto &c : cases) {
		struct error e;
		error_clear(&e);
		uint64_t revision = 0;
		struct catalog *got =
			object_codec_catalog(c.reply.c_str(), &revision, &e);
		EXPECT_EQ(got ? got->revision : 0, c.revision) << c.name;
		EXPECT_EQ(e.code != ERR_NONE, c.fails) << c.name;
		catalog_destroy(got);
	}
}

// Guards against copies of the configuration that peers refuse as too large: a
// watch may bring several versions in one reply.
TEST(ObjectCodec, CopyHoldsOnlyTheNewestConfiguration)
{
	const size_t most = 2 * MESSAGE_MAX_BYTES; // that a peer takes
	const std::string padding(900000, 'x');
	auto version = [&padding](int n) {
		return R"({"version":)" + std::to_string(n) +
		       R"(,"routes":[],"services":[],"note":")" + padding +
		       "\"}";
	};
	auto event = [](bool deleted, const std::string &o) {
		return std::string("{\"deleted\":") +
		       (deleted ? "true" : "false") + ",\"object\":" + o + "}";
	};
	const std::string three =
		"{\"events\":[" + event(false, object("main", 11, version(4))) +
		"," + event(false, object("main", 14, version(7))) + "," +
		event(false, object("main", 13, version(6))) +
		"],\"currentRev\":15}";
	const struct {
		const char *name;
		std::string reply;
		uint64_t version; // 0: no copy
	} cases[] = {
		{ "several versions in a watch", three, 7 },
		{ "a list",
		  "{\"items\":[" + object("main", 12, kConfig) +
			  "],\"more\":false,\"currentRev\":15}",
		  7 },
		{ "no configuration", "{\"items\":[],\"currentRev\":15}", 0 },
		{ "not JSON", "{", 0 },
	};
	EXPECT_GT(three.size(), most);
	for (const auto &c : cases) {
		char *copy = object_codec_catalog_copy(c.reply.c_str());
		ASSERT_EQ(copy != nullptr, c.version != 0) << c.name;
		if (!copy)
			continue;
		struct error e;
		error_clear(&e);
		uint64_t revision = 0;
		struct catalog *got = object_codec_catalog(copy, &revision, &e);
		EXPECT_LE(strlen(copy), most) << c.name;
		ASSERT_NE(got, nullptr) << c.name << " " << e.message;
		EXPECT_EQ(got->version, c.version) << c.name;
		catalog_destroy(got);
		free(copy);
	}
}

struct Collected {
	std::vector<struct registry_db> dbs;
};

void collect(void *ctx, const struct registry_db *db)
{
	static_cast<Collected *>(ctx)->dbs.push_back(*db);
}

// The entry of a database with all the fields that the platform's pages name.
const std::string kDatabase =
	"{\"service\":\"huvo\",\"address\":\"10.0.0.9:8080\","
	"\"zone\":\"a\",\"version\":\"v1\",\"slots\":5,"
	"\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"replica\","
	"\"born\":1700000000000,\"sequence\":4}";

// Returns that entry with one part replaced.
std::string with(const std::string &from, const std::string &to)
{
	std::string s = kDatabase;
	return s.replace(s.find(from), from.size(), to);
}

// Entries of other programs are skipped; the others are still decoded.
TEST(ObjectCodec, Databases)
{
	const std::string good = kDatabase;
	const struct {
		const char *name;
		std::string spec;
		bool is_valid;
	} cases[] = {
		{ "complete", good, true },
		{ "departing", with("ready", "draining"), true },
		{ "primary", with("replica", "primary"), true },
		{ "without born", with("\"born\":1700000000000,", ""), true },
		{ "born of another type",
		  with("1700000000000", "\"yesterday\""), false },
		{ "unknown state", with("ready", "resting"), false },
		{ "unknown role", with("replica", "observer"), false },
		{ "no service", with("\"service\"", "\"servixe\""), false },
		{ "address of another type", with("\"10.0.0.9:8080\"", "17"),
		  false },
		{ "slots of another type", with(":5", ":\"5\""), false },
		{ "not an object", "17", false },
		{ "null", "null", false },
	};
	for (const auto &c : cases) {
		std::string list = "{\"items\":[" + object("bad", 1, "{}") +
				   "," + object("i-1", 2, c.spec) + "," +
				   object("i-2", 3, good) +
				   "],\"more\":true,\"currentRev\":9}";
		struct registry_page page = {};
		struct error e;
		Collected t;
		ASSERT_EQ(object_codec_databases(list.c_str(), collect, &t,
						 &page, &e),
			  0)
			<< c.name;
		EXPECT_EQ(t.dbs.size(), c.is_valid ? 2u : 1u) << c.name;
		EXPECT_EQ(page.skipped, c.is_valid ? 1u : 2u) << c.name;
		EXPECT_TRUE(page.more);
		EXPECT_STREQ(page.last, "i-2");
		EXPECT_STREQ(t.dbs.back().id, "i-2");
	}
}

// Guards against one entry of another writer that ends the list for all VMs, or
// that is taken for a database: whatever it holds, the other entries are
// decoded and the list goes on after it.
TEST(ObjectCodec, OddEntryCostsNothingButItself)
{
	auto nested = [](size_t depth) {
		return with("}", ",\"x\":" + std::string(depth, '[') +
					 std::string(depth, ']') + "}");
	};
	const struct {
		const char *name;
		std::string item;
		const char *reason; // NULL: it is taken
		const char *field;
	} cases[] = {
		{ "a NUL in a string", object("m", 2, with("huvo", "\\u0000")),
		  "no spec that can be decoded", nullptr },
		{ "a lone surrogate", object("m", 2, with("huvo", "\\ud800")),
		  "no spec that can be decoded", nullptr },
		{ "no UTF-8", object("m", 2, with("huvo", "\xff\xc0")),
		  "no spec that can be decoded", nullptr },
		{ "a control character", object("m", 2, with("huvo", "\x01")),
		  "no spec that can be decoded", nullptr },
		{ "an integer of 65 bits",
		  object("m", 2, with(":5", ":18446744073709551616")),
		  "no spec that can be decoded", nullptr },
		{ "a number beyond double",
		  object("m", 2, with(":4", ":1e400")),
		  "no spec that can be decoded", nullptr },
		{ "nested 5,000 times", object("m", 2, nested(5000)),
		  "no spec that can be decoded", nullptr },
		{ "nested to the size of a page",
		  object("m", 2, nested(400000)), "no spec that can be decoded",
		  nullptr },
		{ "as large as a page",
		  object("m", 2, with("v1", std::string(1 << 20, 'v'))),
		  nullptr, nullptr },
		{ "a field twice", object("m", 2, with(":5", ":5,\"slots\":6")),
		  "no spec that can be decoded", nullptr },
		{ "brackets that don't match", object("m", 2, with("}", "]")),
		  "no spec that can be decoded", nullptr },
		{ "a port out of range", object("m", 2, with("8080", "99999")),
		  "invalid field", "address" },
		{ "a port of 65 bits",
		  object("m", 2, with("8080", "18446744073709551616")),
		  "invalid field", "address" },
		{ "port 0", object("m", 2, with("8080", "0")), "invalid field",
		  "address" },
		{ "a negative port", object("m", 2, with("8080", "-1")),
		  "invalid field", "address" },
		{ "no port", object("m", 2, with(":8080", "")), "invalid field",
		  "address" },
		{ "a host name", object("m", 2, with("10.0.0.9", "db")),
		  "invalid field", "address" },
		{ "slots out of range",
		  object("m", 2, with(":5", ":4294967296")), "invalid field",
		  "slots" },
		{ "no slots at all", object("m", 2, with(":5", ":0")),
		  "invalid field", "slots" },
		{ "a negative sequence", object("m", 2, with(":4", ":-4")),
		  "invalid field", "sequence" },
		{ "slots with a fraction", object("m", 2, with(":5", ":5.5")),
		  "invalid field", "slots" },
		{ "coldLeftMs of another type",
		  object("m", 2, with("Ms\":0", "Ms\":\"0\"")), "invalid field",
		  "coldLeftMs" },
		{ "no version", object("m", 2, with("\"version\":\"v1\",", "")),
		  "missing field", "version" },
		{ "no coldLeftMs",
		  object("m", 2, with("\"coldLeftMs\":0,", "")),
		  "missing field", "coldLeftMs" },
		{ "no sequence", object("m", 2, with(",\"sequence\":4", "")),
		  "missing field", "sequence" },
		{ "the longest name",
		  object(std::string(NAME_MAX_BYTES - 1, 'm'), 2, kDatabase),
		  nullptr, nullptr },
		{ "a name that is too long",
		  object(std::string(NAME_MAX_BYTES, 'm'), 2, kDatabase),
		  "invalid name", nullptr },
		{ "a name with a blank", object("m m", 2, kDatabase),
		  "invalid name", nullptr },
		{ "a name with the end of a line",
		  object("m\\r\\nSTART x", 2, kDatabase), "invalid name",
		  nullptr },
		{ "an empty name", object("", 2, kDatabase), "no name",
		  nullptr },
		{ "no object", "17", "no name", nullptr },
		{ "two names", R"({"meta":{"name":"m","name":"n"},"spec":{}})",
		  "no name", nullptr },
		{ "no spec", R"({"meta":{"name":"m","revision":2}})",
		  "no spec that can be decoded", nullptr },
	};
	for (const auto &c : cases) {
		const std::string list =
			"{\"items\":[" + object("a", 1, kDatabase) + "," +
			c.item + " , " + object("z", 3, kDatabase) +
			"],\"more\":false,\"currentRev\":9}";
		struct registry_page page = {};
		struct error e;
		Collected t;
		ASSERT_EQ(object_codec_databases(list.c_str(), collect, &t,
						 &page, &e),
			  0)
			<< c.name;
		EXPECT_EQ(t.dbs.size(), c.reason ? 2u : 3u) << c.name;
		EXPECT_STREQ(t.dbs.front().id, "a") << c.name;
		EXPECT_STREQ(t.dbs.back().id, "z") << c.name;
		EXPECT_STREQ(page.last, "z") << c.name;
		EXPECT_EQ(page.revision, 9u) << c.name;
		EXPECT_EQ(page.skipped, c.reason ? 1u : 0u) << c.name;
		EXPECT_STREQ(page.skip[0].reason, c.reason) << c.name;
		EXPECT_STREQ(page.skip[0].field, c.field) << c.name;
	}
}

// Guards against a list that ends, or is read again for ever, at a page with
// nothing but names that are too long.
TEST(ObjectCodec, ListGoesOnAfterLongNames)
{
	const std::string kept(OBJECT_NAME_BYTES - 2, 'm');
	const struct {
		const char *name;
		std::string last; // name of the last item of the page
		std::string after;
	} cases[] = {
		{ "as long as fits", kept, kept },
		{ "longer", kept + "mzz", kept + "n" },
		{ "much longer", kept + std::string(4000, 'a'), kept + "b" },
		{ "cut at a character of several bytes",
		  kept + "\xc3\xa9\xc3\xa9",
		  kept.substr(0, kept.size() - 1) + "n" },
	};
	for (const auto &c : cases) {
		const std::string list = "{\"items\":[" +
					 object(c.last, 1, kDatabase) +
					 "],\"more\":true,\"currentRev\":9}";
		struct registry_page page = {};
		struct error e;
		Collected t;
		ASSERT_EQ(object_codec_databases(list.c_str(), collect, &t,
						 &page, &e),
			  0)
			<< c.name;
		EXPECT_TRUE(t.dbs.empty()) << c.name;
		EXPECT_EQ(page.last, c.after) << c.name;
		EXPECT_STREQ(page.skip[0].reason, "invalid name") << c.name;
	}
}

// Guards against an odd object beside the configuration, or an odd version of
// it, that hides the one in force.
TEST(ObjectCodec, OddObjectsBesideTheConfiguration)
{
	const std::string odd = object("other", 30, "{\"x\":\"\\u0000\"}");
	auto event = [](const std::string &o) {
		return "{\"deleted\":false,\"object\":" + o + "}";
	};
	const std::string cases[] = {
		"{\"items\":[" + odd + "," + object("main", 20, kConfig) +
			"],\"currentRev\":30}",
		"{\"events\":[" + event(odd) + "," +
			event(object("main", 20, kConfig)) + "," + event(odd) +
			",{\"object\":1e400}],\"currentRev\":30}",
	};
	for (const auto &reply : cases) {
		struct error e;
		error_clear(&e);
		uint64_t revision = 0;
		struct catalog *c =
			object_codec_catalog(reply.c_str(), &revision, &e);
		ASSERT_NE(c, nullptr) << reply << e.message;
		EXPECT_EQ(c->revision, 20u);
		EXPECT_EQ(revision, 30u);
		catalog_destroy(c);
	}
	uint64_t revision = 0;
	struct error e;
	EXPECT_EQ(object_codec_changes(cases[1].c_str(), &revision, &e), 4);
	EXPECT_EQ(revision, 30u);
}

// Guards against a VM's entry of another writer that is taken for a peer.
TEST(ObjectCodec, Vms)
{
	const struct {
		const char *name;
		std::string spec;
		bool is_valid;
	} cases[] = {
		{ "complete",
		  R"({"domain":"a","peer":"10.0.0.1:7560","incarnation":5})",
		  true },
		{ "no incarnation", R"({"domain":"a","peer":"10.0.0.1:7560"})",
		  false },
		{ "a port out of range",
		  R"({"domain":"a","peer":"10.0.0.1:70000","incarnation":5})",
		  false },
		{ "incarnation of another type",
		  R"({"domain":"a","peer":"10.0.0.1:7560","incarnation":"5"})",
		  false },
	};
	for (const auto &c : cases) {
		const std::string list =
			"{\"items\":[" + object("vm", 2, c.spec) + "]}";
		struct registry_page page = {};
		struct error e;
		int n = 0;
		ASSERT_EQ(object_codec_vms(
				  list.c_str(),
				  [](void *ctx, const struct registry_vm *) {
					  ++*static_cast<int *>(ctx);
				  },
				  &n, &page, &e),
			  0)
			<< c.name;
		EXPECT_EQ(n, c.is_valid) << c.name;
	}
}

TEST(ObjectCodec, PromotionClaims)
{
	const struct registry_codec *codec = registry_codec();
	const struct {
		const char *name;
		enum promotion_claim_state state;
		bool certain;
		const char *primary;
	} cases[] = {
		{ "held", PROMOTION_CLAIM_HELD, true, "" },
		{ "promoting", PROMOTION_CLAIM_PROMOTING, false, "" },
		{ "closed", PROMOTION_CLAIM_CLOSED, false, "db-2" },
	};
	struct registry_claim_record got;
	std::string reply;
	for (const auto &c : cases) {
		struct registry_claim_record duty = {};
		snprintf(duty.holder, sizeof(duty.holder), "vm-1");
		snprintf(duty.primary, sizeof(duty.primary), "%s", c.primary);
		duty.incarnation = 5;
		duty.claim_number = 3;
		duty.claim = { c.state, { 8, 0 }, 9, c.certain };
		char *body = codec->claim_body(&duty);
		reply = object("svc", 41, body);
		free(body);
		ASSERT_EQ(codec->claim(reply.c_str(), &got), 0) << c.name;
		EXPECT_STREQ(got.holder, "vm-1") << c.name;
		EXPECT_EQ(got.incarnation, 5u) << c.name;
		EXPECT_EQ(got.claim_number, 3u) << c.name;
		EXPECT_EQ(got.claim.at.revision, 41u) << c.name;
		EXPECT_EQ(got.claim.state, c.state) << c.name;
		EXPECT_EQ(got.claim.term, 9u) << c.name;
		EXPECT_EQ(got.claim.is_term_certain, c.certain) << c.name;
		EXPECT_STREQ(got.primary, c.primary) << c.name;
	}
	EXPECT_EQ(codec->claim(object("svc", 41,
				      "{\"holder\":\"v\",\"closed\":true}")
				       .c_str(),
			       &got),
		  -1)
		<< "closed without a primary";
	EXPECT_EQ(codec->claim("{}", &got), -1);
	EXPECT_EQ(codec->claim("", &got), -1);
	EXPECT_EQ(object_codec_revision(reply.c_str()), 41u);
	EXPECT_EQ(object_codec_revision(nullptr), 0u);
	char *wrapped = object_codec_wrap("svc", 41, "{\"a\":1}");
	EXPECT_EQ(object_codec_revision(wrapped), 41u);
	free(wrapped);
	EXPECT_EQ(object_codec_wrap("svc", 0, "{"), nullptr);
}

bool collect_domain(void *ctx, const char *domain)
{
	auto *to = static_cast<std::vector<std::string> *>(ctx);
	if (!*domain)
		return false;
	to->push_back(domain);
	return true;
}

TEST(ObjectCodec, Evacuations)
{
	const std::string good = object("z-1", 4, "{}");
	const struct {
		const char *name;
		std::string item;
		bool is_valid;
	} cases[] = {
		{ "another domain", object("z-2", 5, "{}"), true },
		{ "with a field of a later version",
		  object("z-2", 5, "{\"since\":4}"), true },
		{ "being deleted: still in force",
		  "{\"meta\":{\"name\":\"z-2\",\"deleting\":true},\"spec\":{}}",
		  true },
		{ "no name", "{\"meta\":{},\"spec\":{}}", false },
		{ "empty name", object("", 5, "{}"), false },
		{ "a number for a name", "{\"meta\":{\"name\":7},\"spec\":{}}",
		  false },
		{ "longest name that is too long",
		  object(std::string(NAME_MAX_BYTES, 'z'), 5, "{}"), false },
		{ "no spec", "{\"meta\":{\"name\":\"z-2\"}}", false },
		{ "no object", "7", false },
	};
	for (const auto &c : cases) {
		const std::string list = "{\"items\":[" + c.item + "," + good +
					 "],\"more\":true,\"currentRev\":9}";
		struct registry_page page = {};
		struct error e;
		std::vector<std::string> got;
		ASSERT_EQ(object_codec_evacuations(list.c_str(), collect_domain,
						   &got, &page, &e),
			  0)
			<< c.name;
		EXPECT_EQ(got.size(), c.is_valid ? 2u : 1u) << c.name;
		EXPECT_EQ(got.back(), "z-1") << c.name;
		EXPECT_EQ(page.skipped, c.is_valid ? 0u : 1u) << c.name;
		EXPECT_TRUE(page.more) << c.name;
		EXPECT_EQ(page.revision, 9u) << c.name;
	}
}

TEST(ObjectCodec, Changes)
{
	const struct {
		const char *name;
		const char *reply;
		int n;
		uint64_t revision;
	} cases[] = {
		{ "none", R"({"events":[],"currentRev":7})", 0, 7 },
		{ "a write and a deletion",
		  R"({"events":[{"deleted":false,"object":{}},
			{"deleted":true,"object":{}}],"currentRev":9})",
		  2, 9 },
		{ "without a revision", R"({"events":[{}]})", 1, 0 },
		{ "no events", R"({"currentRev":9})", -1, 0 },
		{ "events of another type", R"({"events":{}})", -1, 0 },
		{ "no JSON", "{", -1, 0 },
		{ "empty", "", -1, 0 },
	};
	for (const auto &c : cases) {
		uint64_t revision = 0;
		struct error e;
		EXPECT_EQ(object_codec_changes(c.reply, &revision, &e), c.n)
			<< c.name;
		EXPECT_EQ(revision, c.revision) << c.name;
	}
}

TEST(ObjectCodec, Mutations)
{
	std::string list = "{\"items\":[" + object("main", 12, kConfig) +
			   "],\"more\":false,\"currentRev\":15}";
	const std::string databases =
		"{\"items\":[" + object("i-1", 12, kDatabase) + "," +
		object("i-2", 13, with("replica", "primary")) +
		"],\"more\":true,\"currentRev\":15}";
	Mutator m(182305, { list, databases },
		  { "null", "-1", "[]", "{}", "\"\"", "\\u0000", "1e400",
		    "18446744073709551616", "[[[[", "\"meta\":", "99999" });
	const char *rounds = getenv("MUTATIONS"); // for a longer run by hand
	for (int i = 0; i < (rounds ? atoi(rounds) : 5000); i++) {
		std::string s = m.next();
		uint64_t revision = 0;
		struct registry_page page = {};
		struct error e;
		Collected t;
		error_clear(&e);
		catalog_destroy(object_codec_catalog(s.c_str(), &revision, &e));
		object_codec_databases(s.c_str(), collect, &t, &page, &e);
		int vms = 0;
		object_codec_vms(
			s.c_str(),
			[](void *ctx, const struct registry_vm *) {
				++*static_cast<int *>(ctx);
			},
			&vms, &page, &e);
		std::vector<std::string> domains;
		object_codec_evacuations(s.c_str(), collect_domain, &domains,
					 &page, &e);
		object_codec_changes(s.c_str(), &revision, &e);
	}
}
} // namespace
