#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

#include "http_client.h"

extern "C" {
#include "standin/database.h"
}

namespace
{
// A database server in this process, on ports that the kernel chooses.
class Database
{
      public:
	explicit Database(const char *name, uint64_t term = 0,
			  const char *primary = nullptr,
			  struct fault_settings faults = {})
	{
		struct database_options o = {};
		struct error e = {};
		o.name = name;
		o.domain = "d1";
		o.listen = "127.0.0.1:0";
		o.control = "127.0.0.1:0";
		o.tx_idle_timeout = 10 * USEC_PER_SEC;
		o.faults = faults;
		o.term = term;
		o.primary = primary;
		d = database_start(&o, &e);
		EXPECT_NE(d, nullptr) << e.message;
	}
	~Database()
	{
		database_stop(d);
	}
	const char *address()
	{
		return database_address(d);
	}
	void control(const char *json)
	{
		HttpClient c(database_control_address(d));
		EXPECT_EQ(c.call("POST", "/control", json), 200) << json;
	}
	long long control_number(const char *name)
	{
		HttpClient c(database_control_address(d));
		EXPECT_EQ(c.call("GET", "/control"), 200);
		return c.number(name);
	}
	struct database *d;
};

std::string statement(int term, const char *kind, const char *text,
		      const char *more = "")
{
	return "{\"term\":" + std::to_string(term) + ",\"kind\":\"" + kind +
	       "\",\"statement\":\"" + text + "\"" + more + "}";
}

long execute(HttpClient &c, int term, const char *kind, const char *text,
	     const char *more = "", long timeout_ms = 10000)
{
	return c.call("POST", "/v1/execute", statement(term, kind, text, more),
		      nullptr, timeout_ms);
}

// Polls the status until the database has applied a position. Returns false
// after 20000 calls.
bool wait_for_position(HttpClient &c, long long position)
{
	for (int i = 0; i < 20000; i++) {
		if (c.call("GET", "/v1/status") == 200 &&
		    c.number("position") == position)
			return true;
	}
	return false;
}

TEST(DatabaseHttp, Responses)
{
	const struct {
		const char *name, *method, *path, *body;
		long status;
		const char *field, *want;
	} cases[] = {
		{ "write", "POST", "/v1/execute",
		  R"({"term":1,"kind":"write","statement":"put ? ?","parameters":["k","v"]})",
		  200, "outcome", "done" },
		{ "read", "POST", "/v1/execute",
		  R"({"term":1,"kind":"read","statement":"get k"})", 200,
		  "outcome", "done" },
		{ "stale term", "POST", "/v1/execute",
		  R"({"term":0,"kind":"read","statement":"get k"})", 409,
		  "reason", "stale_term" },
		{ "term above the fence", "POST", "/v1/execute",
		  R"({"term":2,"kind":"read","statement":"get k"})", 409,
		  "reason", "term_ahead" },
		{ "bad statement", "POST", "/v1/execute",
		  R"({"term":1,"kind":"read","statement":"gett k"})", 400,
		  "reason", "bad_statement" },
		{ "bad kind", "POST", "/v1/execute",
		  R"({"term":1,"kind":"r","statement":"get k"})", 400, "reason",
		  "bad_statement" },
		{ "malformed JSON", "POST", "/v1/execute", "{", 400, "reason",
		  "bad_statement" },
		{ "write with a request id", "POST", "/v1/execute",
		  R"({"term":1,"kind":"write","statement":"increment n 1","request_id":"t/1","body_hash":"h"})",
		  200, "outcome", "done" },
		{ "request id reused for another body", "POST", "/v1/execute",
		  R"({"term":1,"kind":"write","statement":"increment n 1","request_id":"t/1","body_hash":"g"})",
		  409, "reason", "id_reused" },
		{ "lookup of a request id", "GET", "/v1/requests/t/1", "", 200,
		  "body_hash", "h" },
		{ "commit of an unknown transaction", "POST",
		  "/v1/transactions/x/commit", R"({"term":1})", 409, "reason",
		  "transaction_gone" },
		{ "rollback with none open", "DELETE", "/v1/transactions/x", "",
		  200, "role", "primary" },
		{ "status", "GET", "/v1/status", "", 200, "name", "a" },
		{ "fence with term 0", "POST", "/v1/fence", R"({"term":0})",
		  409, "reason", "bad_statement" },
		{ "promote above the fence term", "POST", "/v1/promote",
		  R"({"term":9})", 409, "reason", "term_ahead" },
		{ "follow without a primary", "POST", "/v1/follow",
		  R"({"term":9})", 400, "reason", "bad_statement" },
		{ "unknown path, nothing served", "GET", "/v2/status", "", 404,
		  "name", "" },
		{ "fenced", "POST", "/v1/fence", R"({"term":9})", 200, "role",
		  "replica" },
		{ "write at a superseded primary", "POST", "/v1/execute",
		  R"({"term":1,"kind":"write","statement":"put k 1"})", 409,
		  "reason", "stale_term" },
	};
	Database db("a", 1);
	HttpClient c(db.address());
	for (const auto &t : cases) {
		long want = t.status;
		if (std::string(t.name) == "fence with term 0")
			want = 400; // term 0 is not a valid term
		EXPECT_EQ(c.call(t.method, t.path, t.body), want) << t.name;
		EXPECT_EQ(c.field(t.field), t.want) << t.name;
	}
}

TEST(DatabaseHttp, ReplicatesAndFailsOver)
{
	Database a("a", 1);
	Database b("b", 1, a.address()), c("c", 1, a.address());
	HttpClient ha(a.address()), hb(b.address()), hc(c.address());
	const char *id = R"(,"request_id":"t/1","body_hash":"h")";
	ASSERT_EQ(execute(ha, 1, "write", "increment n 1", id), 200);
	long long position = ha.number("position");
	ASSERT_TRUE(wait_for_position(hb, position));
	ASSERT_TRUE(wait_for_position(hc, position));
	EXPECT_EQ(execute(hb, 1, "read", "get n"), 200);
	EXPECT_EQ(hb.value(), 1);
	EXPECT_EQ(execute(hb, 1, "write", "increment n 1"), 409);

	// The old primary takes a write that is not replicated; the new primary
	// is promoted without it.
	a.control(R"({"cut_replication":true})");
	ASSERT_EQ(execute(ha, 1, "write", "increment n 50"), 200);
	ASSERT_EQ(hb.call("POST", "/v1/fence", R"({"term":2})"), 200);
	ASSERT_EQ(hc.call("POST", "/v1/fence", R"({"term":2})"), 200);
	ASSERT_EQ(hb.call("POST", "/v1/promote", R"({"term":2})"), 200);
	std::string order =
		R"({"term":2,"primary":")" + std::string(b.address()) + R"("})";
	ASSERT_EQ(hc.call("POST", "/v1/follow", order), 200);
	ASSERT_EQ(execute(hb, 2, "write", "increment n 1", id), 200);
	EXPECT_EQ(hb.value(), 1) << "the stored answer";
	EXPECT_TRUE(json_is_true(json_object_get(hb.body, "replayed")));
	ASSERT_EQ(execute(hb, 2, "write", "increment n 1"), 200);
	EXPECT_EQ(hb.value(), 2);
	ASSERT_EQ(ha.call("POST", "/v1/follow", order), 200);
	a.control(R"({"cut_replication":false})");
	position = hb.number("position");
	ASSERT_TRUE(wait_for_position(ha, position));
	ASSERT_TRUE(wait_for_position(hc, position));
	for (HttpClient *h : { &ha, &hc }) {
		ASSERT_EQ(execute(*h, 2, "read", "get n"), 200);
		EXPECT_EQ(h->value(), 2);
		EXPECT_EQ(h->field("role"), "replica");
		EXPECT_EQ(json_array_size(json_object_get(h->body, "lineage")),
			  2U);
	}
}

TEST(DatabaseHttp, Faults)
{
	// The fate of an increment on a connection opened before the fault.
	const struct {
		const char *name, *control;
		long status; // of the increment; 0: no response
		long long n; // its value after the fault has ended
		long again;  // status of an increment by 0 on a new connection
	} cases[] = {
		{ "none", R"({"latency_us":0})", 200, 1, 200 },
		{ "latency", R"({"latency_us":2000})", 200, 1, 200 },
		{ "reply dropped", R"({"drop_replies":1})", 0, 1, 200 },
		{ "request dropped", R"({"drop_requests":1})", 0, 0, 200 },
		{ "connections refused", R"({"refuse":true})", 0, 0, 0 },
		{ "silent", R"({"silent":true})", 0, 0, 200 },
	};
	for (const auto &t : cases) {
		Database db("a", 1);
		HttpClient old(db.address()), fresh(db.address());
		ASSERT_EQ(old.call("GET", "/v1/status"), 200);
		db.control(t.control);
		// A silent connection gets no response, so only that case waits
		// for the timeout.
		long wait = t.status == 0 && std::string(t.name) == "silent"
				    ? 200
				    : 10000;
		EXPECT_EQ(execute(old, 1, "write", "increment n 1", "", wait),
			  t.status)
			<< t.name;
		EXPECT_EQ(execute(fresh, 1, "write", "increment n 0"), t.again)
			<< t.name;
		db.control(R"({"refuse":false,"silent":false})");
		HttpClient last(db.address());
		ASSERT_EQ(execute(last, 1, "read", "get n"), 200) << t.name;
		EXPECT_EQ(last.value() < 0 ? 0 : last.value(), t.n) << t.name;
	}
}

// The pause fault imitates a stopped process: a request that arrives during the
// pause is executed when it ends, although the client has timed out.
TEST(DatabaseHttp, PausedDatabaseExecutesLate)
{
	Database db("a", 1);
	HttpClient old(db.address());
	ASSERT_EQ(old.call("GET", "/v1/status"), 200);
	db.control(R"({"paused":true})");
	EXPECT_EQ(execute(old, 1, "write", "increment n 1", "", 100), 0);
	db.control(R"({"paused":false})");
	HttpClient fresh(db.address());
	long long n = 0;
	for (int i = 0; i < 20000 && n != 1; i++) {
		ASSERT_EQ(execute(fresh, 1, "read", "get n"), 200);
		n = fresh.value();
	}
	EXPECT_EQ(n, 1);
}

TEST(DatabaseHttp, SlotsAndConnectionsAreLimited)
{
	struct fault_settings f = {};
	f.slots = 1;
	Database db("a", 1, nullptr, f);
	HttpClient busy(db.address()), other(db.address());
	ASSERT_EQ(other.call("GET", "/v1/status"), 200);
	db.control(R"({"latency_us":60000000})");
	std::thread holder(
		[&] { execute(busy, 1, "write", "increment n 1", "", 20000); });
	while (db.control_number("running") != 1)
		std::this_thread::yield();
	EXPECT_EQ(execute(other, 1, "read", "get n"), 503);
	EXPECT_EQ(other.field("reason"), "busy");
	EXPECT_EQ(other.number("running"), 1);
	// Stopping the database drops the request that still runs.
	database_stop(db.d);
	holder.join();
	struct database_options o = {};
	struct error e = {};
	o.name = "a";
	o.domain = "d1";
	o.listen = "127.0.0.1:0";
	o.control = "127.0.0.1:0";
	o.term = 1;
	o.faults.connections = 2;
	db.d = database_start(&o, &e);
	ASSERT_NE(db.d, nullptr) << e.message;
	std::vector<std::unique_ptr<HttpClient>> open;
	int accepted = 0;
	for (int i = 0; i < 20; i++) {
		open.push_back(std::make_unique<HttpClient>(db.address()));
		accepted += open.back()->call("GET", "/v1/status") == 200;
	}
	EXPECT_EQ(accepted, 2 + DB_MAX);
}

TEST(DatabaseHttp, ControlRejectsUnknownFields)
{
	const char *cases[] = {
		"{",
		"[]",
		R"({"slotz":1})",
		R"({"slots":"1"})",
		R"({"slots":-1})",
		R"({"paused":1})",
		R"({"lag_ms":5,"nothing":true})",
	};
	Database db("a", 1);
	HttpClient c(database_control_address(db.d));
	for (const char *t : cases)
		EXPECT_EQ(c.call("POST", "/control", t), 400) << t;
	EXPECT_EQ(db.control_number("lag_ms"), 0);
}
} // namespace
