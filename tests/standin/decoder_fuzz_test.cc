#include <gtest/gtest.h>
#include <cstring>

#include "../mutate.h"

extern "C" {
#include "standin/dbstore.h"
#include "standin/platform_store.h"
}

namespace
{
constexpr int kRounds = 10000;
const std::vector<std::string> kTokens = {
	"null",
	"-1",
	"0",
	"18446744073709551615",
	"9223372036854775807",
	"\"\"",
	"[]",
	"{}",
	"true",
	"1e308",
};

json_t *parse_json(const std::string &s)
{
	return json_loadb(s.data(), s.size(), 0, nullptr);
}

// Mutated statements either parse within the limits or return an error and
// leave nothing allocated.
TEST(Decoders, Statements)
{
	Mutator m(1,
		  { "get quote/1", "put quote/1 a b", "increment n -5",
		    "list quote/", "check k ?", "append ? ?" },
		  { "?", " ", "put", "99999999999999999999", "\xff" });
	json_t *parameters = json_pack("[s,i]", "k", 7);
	int parsed = 0;
	for (int i = 0; i < kRounds; i++) {
		std::string text = m.next();
		struct statement s;
		struct error e = {};
		if (statement_parse(&s, text.c_str(), parameters, &e)) {
			EXPECT_NE(e.code, ERR_NONE) << text;
			EXPECT_EQ(s.value, nullptr) << text;
			continue;
		}
		parsed++;
		EXPECT_LT(strlen(s.key), (size_t)KEY_MAX_BYTES);
		EXPECT_GT(strlen(s.key), 0U);
		statement_clear(&s);
	}
	json_decref(parameters);
	EXPECT_GT(parsed, 0);
	EXPECT_LT(parsed, kRounds);
}

// A follower that receives mutated log responses keeps a consistent log, which
// can still be read and truncated.
TEST(Decoders, LogResponses)
{
	Mutator m(
		2,
		{ R"({"stamp_us":9,"complete":true,"entries":[{"term":1,"position":1,"stamp_us":5,"changes":[["k",1]],"id":"t/1","hash":"h","rows":[]}]})",
		  R"({"stamp_us":9,"complete":true,"entries":[],"reset":{"position":2,"keys":[["k",1,2]],"terms":[[1,0]],"log":[{"term":1,"position":2,"stamp_us":5,"changes":[["k",1,0,1]]}]}})" },
		kTokens);
	int accepted = 0;
	for (int i = 0; i < kRounds; i++) {
		json_t *j = parse_json(m.next());
		struct dbstore_options o = {};
		o.name = "b";
		o.log_max = 4;
		struct dbstore *d = dbstore_create(&o);
		struct error e = {};
		ASSERT_EQ(dbstore_follow(d, 1), DB_OK);
		accepted += dbstore_log_apply(d, 1, j, &e) == 0;
		struct db_view v;
		dbstore_status(d, 0, &v);
		EXPECT_EQ(v.end.position == 0, v.end.term == 0);
		ASSERT_EQ(dbstore_fence(d, 2), DB_OK);
		if (dbstore_promote(d, 2, 1) == DB_OK) {
			json_t *out = nullptr;
			uint64_t truncate_at;
			EXPECT_EQ(dbstore_log_read(d, 2, {}, 9, 1, &out,
						   &truncate_at),
				  DB_OK);
			json_decref(out);
		}
		ASSERT_EQ(dbstore_follow(d, 3), DB_OK);
		(void)dbstore_log_truncate(d, 3, 0, &e);
		dbstore_destroy(d);
		json_decref(j);
	}
	EXPECT_GT(accepted, 0);
	EXPECT_LT(accepted, kRounds);
}

// Mutated VM records are stored or rejected, and the list can still be built.
TEST(Decoders, VmRecords)
{
	Mutator m(
		3,
		{ R"({"name":"a","domain":"d1","incarnation":3,"peer":"10.0.0.1:1","caller":"10.0.0.1:2","state":"live"})" },
		kTokens);
	struct platform_store *s = platform_store_create(1000);
	int accepted = 0;
	for (int i = 0; i < kRounds; i++) {
		json_t *j = parse_json(m.next());
		struct error e = {};
		accepted += platform_store_announce(s, j, i, &e) == 0;
		json_decref(j);
	}
	json_t *vms = platform_store_list_vms(s, kRounds, 0);
	EXPECT_NE(vms, nullptr);
	json_decref(vms);
	platform_store_destroy(s);
	EXPECT_GT(accepted, 0);
	EXPECT_LT(accepted, kRounds);
}
} // namespace
