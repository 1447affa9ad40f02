#include <gtest/gtest.h>
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

// Entries of other programs are skipped; the others are still decoded.
TEST(ObjectCodec, Databases)
{
	const std::string good =
		"{\"service\":\"huvo\",\"address\":\"10.0.0.9:8080\","
		"\"zone\":\"a\",\"slots\":5,\"state\":\"ready\","
		"\"dbRole\":\"replica\",\"born\":1700000000000,"
		"\"sequence\":4}";
	auto with = [&](const std::string &from, const std::string &to) {
		std::string s = good;
		return s.replace(s.find(from), from.size(), to);
	};
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
	Mutator m(182305, { list }, { "null", "-1", "[]", "{}", "\"\"" });
	for (int i = 0; i < 5000; i++) {
		std::string s = m.next();
		uint64_t revision = 0;
		struct registry_page page = {};
		struct error e;
		Collected t;
		error_clear(&e);
		catalog_destroy(object_codec_catalog(s.c_str(), &revision, &e));
		object_codec_databases(s.c_str(), collect, &t, &page, &e);
		std::vector<std::string> domains;
		object_codec_evacuations(s.c_str(), collect_domain, &domains,
					 &page, &e);
		object_codec_changes(s.c_str(), &revision, &e);
	}
}
} // namespace
