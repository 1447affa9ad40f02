#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "standin/dbstore.h"
}

namespace
{
// A database store with short forms of its calls; the test sets the time.
class Db
{
      public:
	explicit Db(const char *name, size_t log_max = 0)
	{
		struct dbstore_options o = {};
		o.name = name;
		o.start_id = 7;
		o.log_max = log_max;
		o.tx_idle_timeout = 1000;
		d = dbstore_create(&o);
	}
	~Db()
	{
		dbstore_destroy(d);
	}
	Db(const Db &) = delete;
	Db &operator=(const Db &) = delete;

	// Executes a statement. Returns the rows as text, or the name of the
	// result if it is not DB_OK.
	std::string execute(uint64_t term, const char *kind, const char *text,
			    const char *id = nullptr,
			    const char *hash = nullptr,
			    const char *tx = nullptr)
	{
		struct statement s;
		struct error e = {};
		if (statement_parse(&s, text, nullptr, &e))
			return e.message;
		struct dbstore_request req = {};
		req.term = term;
		req.kind = *kind == 'r' ? KIND_READ : KIND_WRITE;
		req.statement = &s;
		req.request_id = id;
		req.body_hash = hash;
		req.transaction = tx;
		std::string out = format(dbstore_execute(d, &req, now, now));
		statement_clear(&s);
		return out;
	}
	std::string commit(uint64_t term, const std::string &tx,
			   const char *id = nullptr)
	{
		struct dbstore_request req = {};
		req.term = term;
		req.transaction = tx.c_str();
		req.request_id = id;
		return format(dbstore_commit(d, &req, now, now));
	}
	std::string begin(uint64_t term)
	{
		char tx[DB_TX_ID_BYTES];
		enum dbstore_result r = dbstore_begin(d, term, now, tx);
		return r == DB_OK ? tx : dbstore_result_name(r);
	}
	void promote(uint64_t term)
	{
		ASSERT_EQ(dbstore_fence(d, term), DB_OK);
		ASSERT_EQ(dbstore_promote(d, term, now), DB_OK);
	}
	struct db_view status()
	{
		struct db_view v;
		dbstore_status(d, now, &v);
		return v;
	}
	// Replicates from a primary until it has no more entries. Returns the
	// number of calls, or -1 on an error.
	int replicate_from(const Db &primary, uint64_t term, size_t batch = 2)
	{
		struct error e = {};
		for (int calls = 1; calls < 1000; calls++) {
			json_t *out = nullptr;
			uint64_t truncate_at;
			enum dbstore_result r = dbstore_log_read(
				primary.d, term,
				needs_snapshot ? log_pos{} : status().end,
				batch, primary.now, &out, &truncate_at);
			needs_snapshot = false;
			if (r == DB_NOT_ON_LOG) {
				needs_snapshot =
					dbstore_log_truncate(
						d, term, truncate_at, &e) != 0;
				continue;
			}
			if (r != DB_OK)
				return -1;
			int rc = dbstore_log_apply(d, term, out, &e);
			bool complete =
				json_is_true(json_object_get(out, "complete"));
			json_decref(out);
			if (rc)
				return -1;
			if (complete)
				return calls;
		}
		return -1;
	}

	struct dbstore *d;
	usec_t now = 100;
	bool replayed = false;
	bool needs_snapshot = false;
	struct log_pos pos = {};

      private:
	// Formats the rows, or the name of the result if it is not DB_OK.
	std::string format(struct dbstore_response resp)
	{
		replayed = resp.replayed;
		pos = resp.pos;
		if (resp.result != DB_OK)
			return dbstore_result_name(resp.result);
		std::string out;
		size_t i;
		json_t *r;
		json_array_foreach(resp.rows, i, r)
		{
			char *v = json_dumps(json_object_get(r, "value"),
					     JSON_ENCODE_ANY);
			out += std::string(i ? " " : "") +
			       json_string_value(json_object_get(r, "key")) +
			       "=" + v;
			free(v);
		}
		json_decref(resp.rows);
		return out;
	}
};

TEST(Dbstore, Statements)
{
	const struct {
		const char *kind, *text, *want;
	} cases[] = {
		{ "write", "put a/1 wire", "a/1=\"wire\"" },
		{ "read", "get a/1", "a/1=\"wire\"" },
		{ "read", "get none", "" },
		{ "write", "put a/2 7", "a/2=7" },
		{ "write", "increment a/2 -3", "a/2=4" },
		{ "write", "increment n 5", "n=5" },
		{ "write", "increment a/1 1", "bad_statement" },
		{ "write", "increment n 9223372036854775807", "bad_statement" },
		{ "write", "append a/1 -x", "a/1=\"wire-x\"" },
		{ "read", "list a/", "a/1=\"wire-x\" a/2=4" },
		{ "read", "put a/1 no", "bad_statement" },
		{ "read", "check n 5", "" },
		{ "read", "check n 6", "bad_statement" },
		{ "read", "get", "missing key or key too long" },
		{ "read", "drop a", "unknown verb" },
		{ "read", "get a b", "unexpected text after the statement" },
		{ "write", "put a ?", "missing parameter" },
	};
	Db db("a");
	db.promote(1);
	for (const auto &c : cases)
		EXPECT_EQ(db.execute(1, c.kind, c.text), c.want) << c.text;
}

TEST(Dbstore, TermsAndRoles)
{
	// "f" fence, "p" promote, "F" follow, "r" read, "w" write.
	const struct {
		const char *name;
		std::vector<std::pair<char, uint64_t>> steps;
		const char *want;
	} cases[] = {
		{ "read in the current term", { { 'f', 3 }, { 'r', 3 } }, "" },
		{ "stale term", { { 'f', 3 }, { 'r', 2 } }, "stale_term" },
		{ "term above the fence",
		  { { 'f', 3 }, { 'r', 4 } },
		  "term_ahead" },
		{ "write at a fenced database",
		  { { 'f', 3 }, { 'w', 3 } },
		  "not_primary" },
		{ "write at a primary",
		  { { 'f', 3 }, { 'p', 3 }, { 'w', 3 } },
		  "k=1" },
		{ "fenced again by the same term",
		  { { 'f', 3 }, { 'p', 3 }, { 'f', 3 }, { 'w', 3 } },
		  "k=1" },
		{ "superseded",
		  { { 'f', 3 }, { 'p', 3 }, { 'f', 4 }, { 'w', 3 } },
		  "stale_term" },
		{ "superseded, write in the new term",
		  { { 'f', 3 }, { 'p', 3 }, { 'f', 4 }, { 'w', 4 } },
		  "not_primary" },
		{ "fence below the fence term",
		  { { 'f', 3 }, { 'f', 2 } },
		  "stale_term" },
		{ "promote below the fence term",
		  { { 'f', 3 }, { 'p', 2 } },
		  "stale_term" },
		{ "promote above the fence term",
		  { { 'f', 3 }, { 'p', 4 } },
		  "term_ahead" },
		{ "promote twice",
		  { { 'f', 3 }, { 'p', 3 }, { 'p', 3 } },
		  "ok" },
		{ "promote a follower",
		  { { 'F', 3 }, { 'p', 3 } },
		  "not_primary" },
		{ "follow below the fence term",
		  { { 'f', 3 }, { 'F', 2 } },
		  "stale_term" },
		{ "follow as primary",
		  { { 'f', 3 }, { 'p', 3 }, { 'F', 3 } },
		  "not_primary" },
		{ "follow raises the fence",
		  { { 'F', 5 }, { 'f', 4 } },
		  "stale_term" },
		{ "write at a follower",
		  { { 'F', 5 }, { 'w', 5 } },
		  "not_primary" },
	};
	for (const auto &c : cases) {
		Db db("a");
		std::string last;
		for (auto [action, term] : c.steps) {
			switch (action) {
			case 'f':
				last = dbstore_result_name(
					dbstore_fence(db.d, term));
				break;
			case 'p':
				last = dbstore_result_name(
					dbstore_promote(db.d, term, 1));
				break;
			case 'F':
				last = dbstore_result_name(
					dbstore_follow(db.d, term));
				break;
			case 'r':
				last = db.execute(term, "read", "get k");
				break;
			default:
				last = db.execute(term, "write",
						  "increment k 1");
			}
		}
		EXPECT_EQ(last, c.want) << c.name;
	}
}

TEST(Dbstore, RequestIds)
{
	Db db("a");
	db.promote(1);
	EXPECT_EQ(db.execute(1, "write", "increment n 1", "t/1", "h"), "n=1");
	struct log_pos first = db.pos;
	EXPECT_EQ(db.execute(1, "write", "increment n 1"), "n=2");
	EXPECT_EQ(db.execute(1, "write", "increment n 1", "t/1", "h"), "n=1");
	EXPECT_TRUE(db.replayed);
	EXPECT_EQ(log_pos_cmp(db.pos, first), 0);
	EXPECT_EQ(db.execute(1, "write", "increment n 9", "t/1", "g"),
		  "id_reused");
	EXPECT_EQ(db.execute(1, "read", "get n"), "n=2");
}

TEST(Dbstore, RequestIdsSurviveAPromotion)
{
	Db a("a"), b("b");
	a.promote(1);
	ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
	a.execute(1, "write", "increment n 1", "t/1", "h");
	EXPECT_GT(b.replicate_from(a, 1), 0);
	EXPECT_EQ(b.status().end.position, a.status().end.position);
	b.promote(2);
	EXPECT_EQ(b.execute(2, "write", "increment n 1", "t/1", "h"), "n=1");
	EXPECT_TRUE(b.replayed);
	EXPECT_EQ(b.execute(2, "read", "get n"), "n=1");
}

TEST(Dbstore, DivergentTailIsTruncated)
{
	const struct {
		const char *name;
		int shared, lost, newer;
	} cases[] = {
		{ "identical logs", 3, 0, 0 },
		{ "divergent tail of one", 3, 1, 0 },
		{ "divergent tail longer than the new log", 3, 9, 1 },
		{ "divergent tail shorter than the new log", 3, 2, 9 },
		{ "nothing in common", 0, 4, 2 },
	};
	for (const auto &c : cases) {
		Db a("a"), b("b");
		a.promote(1);
		ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
		for (int i = 0; i < c.shared; i++)
			a.execute(1, "write", "increment n 1");
		ASSERT_GT(b.replicate_from(a, 1), 0) << c.name;
		for (int i = 0; i < c.lost; i++) {
			a.execute(1, "write", "increment n 100", "t/lost", "h");
			a.execute(1, "write", "put lost/x 1");
		}
		b.promote(3);
		for (int i = 0; i < c.newer; i++)
			b.execute(3, "write", "increment n 1");
		ASSERT_EQ(dbstore_follow(a.d, 3), DB_OK);
		ASSERT_GT(a.replicate_from(b, 3), 0) << c.name;
		EXPECT_EQ(a.execute(3, "read", "get n"),
			  b.execute(3, "read", "get n"))
			<< c.name;
		EXPECT_EQ(a.execute(3, "read", "list lost/"), "") << c.name;
		EXPECT_EQ(log_pos_cmp(a.status().end, b.status().end), 0)
			<< c.name;
		ASSERT_EQ(a.status().lineage.n, 2U) << c.name;
		EXPECT_EQ(a.status().lineage.start[1].position,
			  b.status().lineage.start[1].position)
			<< c.name;
		struct log_pos pos;
		json_t *rows;
		char *hash;
		EXPECT_FALSE(
			dbstore_find_request(a.d, "t/lost", &pos, &rows, &hash))
			<< c.name;
	}
}

// Followers with a term of their own rejoin a primary whose log has terms that
// they do not know: they truncate to the common prefix.
TEST(Dbstore, TruncateAcrossSeveralTerms)
{
	Db a("a"), b("b"), c("c");
	a.promote(1);
	a.execute(1, "write", "increment n 1");
	ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
	ASSERT_EQ(dbstore_follow(c.d, 1), DB_OK);
	b.replicate_from(a, 1);
	c.replicate_from(a, 1);
	b.promote(2);
	b.execute(2, "write", "increment n 10");
	c.promote(4);
	c.execute(4, "write", "increment n 100");
	a.promote(5);
	a.execute(5, "write", "increment n 1000");
	for (Db *d : { &b, &c }) {
		ASSERT_EQ(dbstore_follow(d->d, 5), DB_OK);
		EXPECT_GT(d->replicate_from(a, 5), 0);
		EXPECT_EQ(d->execute(5, "read", "get n"), "n=1001");
		EXPECT_EQ(d->status().lineage.n, 2U);
	}
}

TEST(Dbstore, FollowerFarBehindGetsSnapshot)
{
	Db a("a", 8), b("b", 8);
	a.promote(1);
	a.execute(1, "write", "increment n 1", "t/old", "h");
	for (int i = 0; i < 20; i++)
		a.execute(1, "write", "increment n 1", "t/same", "h");
	for (int i = 0; i < 20; i++)
		a.execute(1, "write", "increment m 1");
	a.execute(1, "write", "increment n 1", "t/new", "h");
	struct log_pos pos;
	json_t *rows;
	char *hash;
	EXPECT_FALSE(dbstore_find_request(a.d, "t/old", &pos, &rows, &hash));
	ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
	EXPECT_EQ(b.replicate_from(a, 1), 1);
	EXPECT_EQ(b.execute(1, "read", "list "), "missing key or key too long");
	EXPECT_EQ(b.execute(1, "read", "get m"), "m=20");
	EXPECT_EQ(b.execute(1, "read", "get n"), "n=3");
	b.promote(2);
	EXPECT_EQ(b.execute(2, "write", "increment n 1", "t/new", "h"), "n=3");
	EXPECT_TRUE(b.replayed);
}

TEST(Dbstore, FollowerOfAnOlderTermAppliesNothing)
{
	Db a("a"), b("b");
	struct error e = {};
	json_t *out = nullptr;
	uint64_t truncate_at;
	a.promote(1);
	ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
	ASSERT_EQ(dbstore_log_read(a.d, 1, {}, 9, 5, &out, &truncate_at),
		  DB_OK);
	ASSERT_EQ(dbstore_fence(b.d, 2), DB_OK);
	EXPECT_EQ(dbstore_log_apply(b.d, 1, out, &e), -1);
	EXPECT_EQ(e.code, ERR_SUPERSEDED);
	EXPECT_EQ(dbstore_log_truncate(b.d, 1, 0, &e), -1);
	json_decref(out);
	EXPECT_EQ(b.status().end.position, 0U);
	EXPECT_EQ(dbstore_log_read(b.d, 2, {}, 9, 5, &out, &truncate_at),
		  DB_NOT_PRIMARY);
	EXPECT_EQ(dbstore_log_read(a.d, 2, {}, 9, 5, &out, &truncate_at),
		  DB_TERM_AHEAD);
}

TEST(Dbstore, TimestampsComeFromThePrimary)
{
	Db a("a"), b("b");
	a.promote(1);
	ASSERT_EQ(dbstore_follow(b.d, 1), DB_OK);
	a.now = 500;
	b.now = 90000;
	b.replicate_from(a, 1);
	EXPECT_EQ(b.status().stamp_us, 500);
	EXPECT_EQ(b.status().stamp_term, 1U);
	a.now = 900;
	EXPECT_EQ(a.status().stamp_us, 900);
	EXPECT_EQ(b.status().stamp_us, 500);
	b.replicate_from(a, 1);
	EXPECT_EQ(b.status().stamp_us, 900);
}

TEST(Dbstore, Transactions)
{
	const struct {
		const char *name;
		std::vector<const char *> inside;
		const char *between; // statement of another client before the
				     // commit
		const char *want;    // result of the commit
		const char *after;   // rows of "list k" afterwards
	} cases[] = {
		{ "atomic",
		  { "put k1 1", "put k2 2" },
		  nullptr,
		  "",
		  "k1=1 k2=2" },
		{ "key read, then changed",
		  { "get k1", "put k2 2" },
		  "put k1 9",
		  "transaction_gone",
		  "k1=9" },
		{ "key not read changed",
		  { "get k1", "put k2 2" },
		  "put k3 9",
		  "",
		  "k2=2 k3=9" },
		{ "prefix read, then key added",
		  { "list k", "put k2 2" },
		  "put k3 9",
		  "transaction_gone",
		  "k3=9" },
		{ "blind put conflicts with nothing",
		  { "put k1 1" },
		  "put k1 9",
		  "",
		  "k1=1" },
		{ "increment of a changed key",
		  { "increment k1 1" },
		  "increment k1 1",
		  "transaction_gone",
		  "k1=1" },
		{ "check fails",
		  { "put k1 1", "check k1 2" },
		  nullptr,
		  "transaction_gone",
		  "" },
		{ "check succeeds",
		  { "put k1 1", "check k1 1" },
		  nullptr,
		  "",
		  "k1=1" },
	};
	for (const auto &c : cases) {
		Db db("a");
		db.promote(1);
		std::string tx = db.begin(1);
		for (const char *s : c.inside)
			db.execute(1, "write", s, nullptr, nullptr, tx.c_str());
		EXPECT_EQ(db.execute(1, "read", "list k"), "") << c.name;
		if (c.between)
			db.execute(1, "write", c.between);
		EXPECT_EQ(db.commit(1, tx), c.want) << c.name;
		EXPECT_EQ(db.execute(1, "read", "list k"), c.after) << c.name;
		EXPECT_EQ(db.commit(1, tx), "transaction_gone") << c.name;
	}
}

TEST(Dbstore, TransactionsReadTheirWritesAndEnd)
{
	Db db("a");
	db.promote(1);
	std::string tx = db.begin(1);
	auto in = [&](const char *s) {
		return db.execute(1, "write", s, nullptr, nullptr, tx.c_str());
	};
	EXPECT_EQ(in("increment k 1"), "k=1");
	EXPECT_EQ(in("increment k 1"), "k=2");
	EXPECT_EQ(in("list k"), "k=2");
	EXPECT_EQ(db.commit(1, tx, "t/c"), "");
	EXPECT_EQ(db.commit(1, tx, "t/c"), "");
	EXPECT_TRUE(db.replayed);
	EXPECT_EQ(db.execute(1, "read", "get k"), "k=2");

	tx = db.begin(1);
	db.now += 1001;
	EXPECT_EQ(in("get k"), "transaction_gone") << "idle for too long";
	tx = db.begin(1);
	EXPECT_EQ(dbstore_rollback(db.d, tx.c_str(), 1), DB_OK);
	EXPECT_EQ(in("get k"), "transaction_gone") << "rolled back";
	tx = db.begin(1);
	in("put k 9");
	db.promote(2);
	EXPECT_EQ(db.commit(1, tx), "stale_term");
	EXPECT_EQ(db.commit(2, tx), "transaction_gone") << "superseded";
	EXPECT_EQ(dbstore_n_transactions(db.d), 0U);
	for (int i = 0; i < DB_TRANSACTIONS_MAX; i++)
		db.begin(2);
	EXPECT_EQ(db.begin(2), "busy");
}
} // namespace
