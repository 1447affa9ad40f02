#include <arpa/inet.h>
#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C" {
#include "kernel/address.h"
#include "plugins/caller_http.h"
}

namespace
{
// Fakes the teams and the engine. The statement says how the engine responds:
// "now", "thread" (from another thread) or "hold" (when the test finishes it).
struct FakeBackend {
	std::mutex lock;
	std::condition_variable changed;
	std::vector<struct request *> held;
	std::vector<std::thread> threads;
	std::string last; // the last request that the engine got
	int submitted = 0;
	bool withdrawn = false;
	bool ready = true;
};

void finish(struct request *r)
{
	struct answer *a = &r->answer;
	if (strcmp(r->statement ? r->statement : "", "refuse") == 0) {
		a->outcome = OUTCOME_NOT_RUN;
		a->retry_after_ms = 1200;
		error_set(&a->error, ERR_OVER_RATE, STEP_ADMIT, "vm-2",
			  "over \xc3\xa9");
	} else if (strcmp(r->statement ? r->statement : "", "unknown") == 0) {
		a->outcome = OUTCOME_UNKNOWN;
		error_set(&a->error, ERR_TIMEOUT, STEP_EXECUTE, "10.0.0.1:1",
			  "no reply");
	} else {
		a->outcome = OUTCOME_DONE;
		a->rows = strdup("[{\"key\":\"k\"}]");
		a->at = { 3, 57 };
		a->age_us = 12000;
		a->from_replica = r->kind == KIND_READ;
		strcpy(a->token, "moved");
		if (r->op == OP_BEGIN)
			strcpy(a->transaction, "tx-1");
	}
	r->done(r);
}

int check_key(void *ctx, const char *secret, const char *service,
	      struct team_auth *out, struct error *e)
{
	auto *f = (FakeBackend *)ctx;
	*out = {};
	if (strcmp(secret, "good") != 0 || f->withdrawn)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, "", "no key");
	if (strcmp(service, "quotes") != 0)
		return error_set(e, ERR_FORBIDDEN, STEP_KEY, "", "not yours");
	strcpy(out->team, "team-1");
	strcpy(out->key_id, "key-1");
	out->read_staleness_us = 7000;
	return 0;
}

int recheck_key(void *ctx, const char *, const char *, struct error *e)
{
	if (((FakeBackend *)ctx)->withdrawn)
		return error_set(e, ERR_KEY_UNKNOWN, STEP_KEY, "", "withdrawn");
	return 0;
}

bool ready(void *ctx)
{
	return ((FakeBackend *)ctx)->ready;
}

void submit(void *ctx, struct request *r)
{
	auto *f = (FakeBackend *)ctx;
	const std::string statement = r->statement ? r->statement : "";
	std::unique_lock<std::mutex> guard(f->lock);
	f->submitted++;
	f->last =
		std::to_string(r->op) + " " + r->team + " " + r->service + " " +
		statement + " " + (r->parameters ? r->parameters : "-") +
		" tx=" + r->transaction + " id=" + r->request_id +
		" token=" + r->token + " age=" + std::to_string(r->max_age_us);
	if (statement == "hold") {
		f->held.push_back(r);
		f->changed.notify_all();
		return;
	}
	if (statement == "thread") {
		f->threads.emplace_back([r] { finish(r); });
		return;
	}
	guard.unlock();
	finish(r);
}

// One connection of a caller, with a receive timeout.
class Client
{
      public:
	Client(const char *address)
	{
		struct sockaddr_storage sa;
		socklen_t len;
		struct timeval limit = { 5, 0 };
		address_parse(address, &sa, &len);
		fd = socket(sa.ss_family, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		EXPECT_EQ(connect(fd, (struct sockaddr *)&sa, len), 0);
	}
	~Client()
	{
		disconnect();
	}
	void disconnect()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	bool write(const std::string &s)
	{
		return send(fd, s.data(), s.size(), MSG_NOSIGNAL) ==
		       (ssize_t)s.size();
	}
	// Reads one response: headers and, by its length, body. Empty at the
	// end.
	std::string read()
	{
		size_t end;
		while ((end = buf.find("\r\n\r\n")) == buf.npos)
			if (!receive())
				return "";
		const size_t at = buf.find("Content-Length: ");
		const size_t want = end + 4 + std::stoul(buf.substr(at + 16));
		while (buf.size() < want)
			if (!receive())
				return "";
		std::string one = buf.substr(0, want);
		buf.erase(0, want);
		return one;
	}
	bool ended()
	{
		return !receive() && errno != EAGAIN;
	}

      private:
	bool receive()
	{
		char chunk[65536];
		errno = 0;
		const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
		if (n <= 0)
			return false;
		buf.append(chunk, n);
		return true;
	}
	int fd;
	std::string buf;
};

class CallerHttp : public testing::Test
{
      protected:
	void SetUp() override
	{
		k = {};
		strcpy(k.settings.caller_listen, "127.0.0.1:0");
		k.settings.caller_threads = 2;
		k.settings.caller_connections = 200;
		k.settings.caller_idle_ms = 60000;
		k.settings.body_max_bytes = 4096;
		k.settings.deadline_default_ms = 2000;
		k.settings.deadline_max_ms = 30000;
		open();
	}
	void open()
	{
		struct error e;
		const struct caller_ops ops = { &fake, check_key, recheck_key,
						submit, ready };
		http = caller_http_open(&k, &ops, &e);
		ASSERT_NE(http, nullptr) << e.message;
	}
	void TearDown() override
	{
		for (auto &t : fake.threads)
			t.join();
		if (http)
			caller_http_close(http);
	}
	struct request *take_held()
	{
		std::unique_lock<std::mutex> guard(fake.lock);
		fake.changed.wait(guard, [this] { return !fake.held.empty(); });
		struct request *r = fake.held.back();
		fake.held.pop_back();
		return r;
	}
	// Waits until the server has handled what the test did to its sockets.
	void until_idle()
	{
		while (!caller_http_idle(http))
			std::this_thread::yield();
	}
	struct kernel k;
	FakeBackend fake;
	struct caller_http *http = nullptr;
};

std::string post(const std::string &path, const std::string &body,
		 const std::string &headers = "Authorization: Bearer good\r\n")
{
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

const std::string kAuth = "Authorization: Bearer good\r\n";
const std::string kPath = "/v1/services/quotes/statements";
const std::string kBody = "{\"statement\":\"now\"}";

TEST_F(CallerHttp, RespondsOnEveryRoute)
{
	const std::string tx = "/v1/services/quotes/transactions";
	const std::string del = "DELETE " + tx +
				"/tx-1 HTTP/1.1\r\nHost: h\r\n" + kAuth +
				"\r\n";
	const struct {
		std::string request;
		const char *status;
		std::vector<const char *> parts;
	} cases[] = {
		{ post(kPath, kBody),
		  "200",
		  { "{\"outcome\":\"done\",\"served_by\":\"primary\",\"term\":3,"
		    "\"position\":57,\"age_ms\":12,\"rows\":[{\"key\":\"k\"}]}",
		    "Gypsumcleat-Session: moved\r\n",
		    "Content-Type: application/json\r\n" } },
		{ post(kPath, "{\"statement\":\"thread\",\"kind\":\"read\"}"),
		  "200",
		  { "\"served_by\":\"replica\"" } },
		{ post(kPath, "{\"statement\":\"refuse\"}"),
		  "429",
		  { "Retry-After: 2\r\n", "\"retry_after_ms\":1200",
		    "\"outcome\":\"not_run\"",
		    "{\"code\":\"over_rate\",\"step\":\"admit\",\"peer\":"
		    "\"vm-2\",\"message\":\"over ??\"}" } },
		{ post(kPath, "{\"statement\":\"unknown\"}"),
		  "504",
		  { "\"outcome\":\"unknown\"", "\"step\":\"execute\"",
		    "\"peer\":\"10.0.0.1:1\"" } },
		{ post(tx, ""), "200", { "\"transaction\":\"tx-1\"" } },
		{ post(tx + "/tx-1/commit", ""), "200", { "done" } },
		{ del, "200", { "done" } },
		{ "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "200", { "ok" } },
		{ "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n",
		  "200",
		  { "ready" } },
		{ "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
		  "200",
		  { "# HELP gypsumcleat_requests_total" } },
	};
	Client c(k.settings.caller_listen);
	for (const auto &t : cases) {
		ASSERT_TRUE(c.write(t.request));
		const std::string response = c.read();
		EXPECT_EQ(response.substr(9, 3), t.status) << response;
		for (const char *part : t.parts)
			EXPECT_NE(response.find(part), response.npos)
				<< part << "\n"
				<< response;
	}
}

TEST_F(CallerHttp, PassesTheRequestToTheEngine)
{
	Client c(k.settings.caller_listen);
	c.write(post(kPath,
		     "{\"statement\":\"now\",\"parameters\":[1],"
		     "\"transaction\":\"t9\"}",
		     "authorization: bearer good\r\nIdempotency-Key: i-1\r\n"
		     "Gypsumcleat-Session: tok\r\n"));
	c.read();
	EXPECT_EQ(fake.last, "0 team-1 quotes now [1] tx=t9 id=i-1 token=tok "
			     "age=-1");
	c.write(post(kPath, "{\"statement\":\"now\",\"kind\":\"read\"}"));
	c.read();
	EXPECT_EQ(fake.last, "0 team-1 quotes now - tx= id= token= age=7000");
}

// Each request is refused before it reaches the engine. The connection can be
// used again, unless the end of the request is in doubt.
TEST_F(CallerHttp, RefusesInvalidRequests)
{
	const std::string big(5000, 'x');
	const std::string head = "POST " + kPath + " HTTP/1.1\r\nHost: h\r\n";
	const struct {
		const char *name;
		std::string request;
		const char *status;
		const char *code;
		const char *step;
		bool keeps_connection;
	} cases[] = {
		{ "no key", post(kPath, kBody, ""), "401", "key_unknown", "key",
		  true },
		{ "another scheme",
		  post(kPath, kBody, "Authorization: Basic good\r\n"), "401",
		  "key_unknown", "key", true },
		{ "empty key", post(kPath, kBody, "Authorization: Bearer \r\n"),
		  "401", "key_unknown", "key", true },
		{ "wrong key",
		  post(kPath, kBody, "Authorization: Bearer bad\r\n"), "401",
		  "key_unknown", "key", true },
		{ "another team's service",
		  post("/v1/services/other/statements", kBody), "403",
		  "forbidden", "key", true },
		{ "two keys", post(kPath, kBody, kAuth + kAuth), "400",
		  "bad_request", "parse", false },
		{ "two ids",
		  post(kPath, kBody,
		       kAuth + "Idempotency-Key: a\r\nidempotency-key: a\r\n"),
		  "400", "bad_request", "parse", false },
		{ "two sessions",
		  post(kPath, kBody,
		       kAuth + "Gypsumcleat-Session: a\r\n"
			       "Gypsumcleat-Session: b\r\n"),
		  "400", "bad_request", "parse", false },
		{ "two lengths",
		  post(kPath, kBody, kAuth + "Content-Length: 3\r\n"), "400",
		  "bad_request", "parse", false },
		{ "length and chunks",
		  post(kPath, kBody, kAuth + "Transfer-Encoding: chunked\r\n"),
		  "400", "bad_request", "parse", false },
		{ "long id",
		  post(kPath, kBody,
		       kAuth + "Idempotency-Key: " + std::string(128, 'i') +
			       "\r\n"),
		  "400", "bad_request", "parse", true },
		{ "blank in an id",
		  post(kPath, kBody, kAuth + "Idempotency-Key: a b\r\n"), "400",
		  "bad_request", "parse", true },
		{ "long token",
		  post(kPath, kBody,
		       kAuth + "Gypsumcleat-Session: " +
			       std::string(1024, 's') + "\r\n"),
		  "400", "bad_session_token", "parse", true },
		{ "large head",
		  post(kPath, kBody,
		       kAuth + "X: " + std::string(9000, 'x') + "\r\n"),
		  "413", "too_large", "parse", false },
		{ "large body", post(kPath, big), "413", "too_large", "parse",
		  false },
		{ "large chunked body",
		  head + kAuth + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
			  big + "\r\n0\r\n\r\n",
		  "413", "too_large", "parse", false },
		{ "broken JSON", post(kPath, "{\"statement\":"), "400",
		  "bad_request", "parse", true },
		{ "no body", post(kPath, ""), "400", "bad_request", "parse",
		  true },
		{ "wrong type", post(kPath, "{\"statement\":1}"), "422",
		  "unprocessable", "parse", true },
		{ "unknown field", post(kPath, "{\"sql\":\"x\"}"), "422",
		  "unprocessable", "parse", true },
		{ "deep nesting",
		  post(kPath, "{\"statement\":\"x\",\"parameters\":" +
				      std::string(1500, '[') +
				      std::string(1500, ']') + "}"),
		  "400", "bad_request", "parse", true },
		{ "no such path", post("/v1/other", kBody), "404", "not_found",
		  "parse", true },
		{ "no such path of a service",
		  post("/v1/services/quotes/x", kBody), "404", "not_found",
		  "parse", true },
		{ "no such service", post("/v1/services//statements", kBody),
		  "404", "not_found", "parse", true },
		{ "bad service name",
		  post("/v1/services/a%20b/statements", kBody), "404",
		  "not_found", "parse", true },
		{ "wrong method",
		  "PUT " + kPath + " HTTP/1.1\r\nHost: h\r\n" + kAuth +
			  "Content-Length: 0\r\n\r\n",
		  "405", "method_not_allowed", "parse", true },
		{ "statement in a begin",
		  post("/v1/services/quotes/transactions", kBody), "422",
		  "unprocessable", "parse", true },
	};
	for (const auto &t : cases) {
		Client c(k.settings.caller_listen);
		ASSERT_TRUE(c.write(t.request)) << t.name;
		const std::string response = c.read();
		EXPECT_EQ(response.substr(0, 12),
			  std::string("HTTP/1.1 ") + t.status)
			<< t.name << response;
		EXPECT_NE(response.find("{\"outcome\":\"not_run\",\"error\":{"
					"\"code\":\"" +
					std::string(t.code) + "\",\"step\":\"" +
					t.step + "\",\"peer\":\""),
			  response.npos)
			<< t.name << response;
		EXPECT_EQ(fake.submitted, 0) << t.name;
		if (t.keeps_connection) {
			c.write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
			EXPECT_NE(c.read().find(" 200 "), response.npos)
				<< t.name;
		} else {
			EXPECT_TRUE(c.ended()) << t.name;
		}
	}
}

TEST_F(CallerHttp, RespondsToPipelinedRequestsInOrder)
{
	Client c(k.settings.caller_listen);
	std::string all;
	for (int i = 0; i < 50; i++)
		all += post(kPath, i % 3 == 0	? "{\"statement\":\"refuse\"}"
				   : i % 3 == 1 ? "{\"statement\":\"thread\"}"
						: "{");
	ASSERT_TRUE(c.write(all));
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(c.read().substr(9, 3), i % 3 == 0   ? "429"
						 : i % 3 == 1 ? "200"
							      : "400");
}

TEST_F(CallerHttp, AcceptsBodyInManyParts)
{
	Client c(k.settings.caller_listen);
	for (const char ch : post(kPath, kBody))
		ASSERT_TRUE(c.write(std::string(1, ch)));
	EXPECT_EQ(c.read().substr(9, 3), "200");
	ASSERT_TRUE(c.write("POST " + kPath + " HTTP/1.1\r\nHost: h\r\n" +
			    kAuth +
			    "Transfer-Encoding: chunked\r\n\r\n"
			    "5\r\n{\"sta\r\n11\r\ntement\":\"refuse\"}\r\n"
			    "0\r\n\r\n"));
	EXPECT_EQ(c.read().substr(9, 3), "429");
}

// The engine responds after the caller has disconnected, while another caller
// is served.
TEST_F(CallerHttp, CallerDisconnectsBeforeTheResponse)
{
	for (int i = 0; i < 20; i++) {
		Client c(k.settings.caller_listen);
		ASSERT_TRUE(c.write(post(kPath, "{\"statement\":\"hold\"}")));
		struct request *r = take_held();
		c.disconnect();
		Client other(k.settings.caller_listen);
		other.write(post(kPath, kBody));
		EXPECT_EQ(other.read().substr(9, 3), "200");
		finish(r);
	}
	until_idle();
}

TEST_F(CallerHttp, CallerDisconnectsWithinARequest)
{
	caller_http_close(http);
	k.settings.caller_idle_ms = 200;
	open();
	const std::string whole = post(kPath, kBody);
	for (size_t cut = 1; cut < whole.size(); cut += 3) {
		Client c(k.settings.caller_listen);
		ASSERT_TRUE(c.write(whole.substr(0, cut)));
	}
	until_idle();
	EXPECT_EQ(fake.submitted, 0);
}

TEST_F(CallerHttp, ClosesSlowSenders)
{
	caller_http_close(http);
	k.settings.caller_idle_ms = 100;
	open();
	const std::string whole = post(kPath, kBody);
	for (const size_t cut :
	     { size_t(0), size_t(5), size_t(60), whole.size() - 1 }) {
		Client c(k.settings.caller_listen);
		c.write(whole.substr(0, cut));
		EXPECT_TRUE(c.ended()) << cut;
	}
	// A connection that waits for its response is not closed as slow.
	Client c(k.settings.caller_listen);
	c.write(post(kPath, "{\"statement\":\"hold\"}"));
	struct request *r = take_held();
	Client idle(k.settings.caller_listen);
	EXPECT_TRUE(idle.ended());
	finish(r);
	EXPECT_EQ(c.read().substr(9, 3), "200");
}

TEST_F(CallerHttp, WithdrawnKeyIsRefusedOnAnOpenConnection)
{
	Client c(k.settings.caller_listen);
	c.write(post(kPath, kBody));
	EXPECT_EQ(c.read().substr(9, 3), "200");
	fake.withdrawn = true;
	c.write(post(kPath, kBody));
	EXPECT_EQ(c.read().substr(9, 3), "401");
}

TEST_F(CallerHttp, ReadyOnlyWhenTheVmCanServe)
{
	const struct {
		bool ready;
		bool draining;
		const char *status;
		const char *text;
	} cases[] = {
		{ false, false, "503", "starting\n" },
		{ true, false, "200", "ready\n" },
		{ true, true, "503", "draining\n" },
		{ false, true, "503", "draining\n" },
	};
	for (const auto &t : cases) {
		fake.ready = t.ready;
		k.draining = t.draining;
		Client c(k.settings.caller_listen);
		c.write("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
		const std::string response = c.read();
		EXPECT_EQ(response.substr(9, 3), t.status);
		EXPECT_EQ(response.substr(response.find("\r\n\r\n") + 4),
			  t.text);
	}
}

TEST_F(CallerHttp, DrainRefusesNewWorkButNotOpenTransactions)
{
	const std::string tx = "/v1/services/quotes/transactions";
	const struct {
		bool refusing;
		std::string request;
		const char *status;
	} cases[] = {
		{ false, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n", "503" },
		{ false, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", "200" },
		{ false, post(kPath, kBody), "200" },
		{ false, post(tx, ""), "200" },
		{ true, post(kPath, kBody), "503" },
		{ true, post(tx, ""), "503" },
		{ true, post(tx + "/t/commit", ""), "200" },
		{ true,
		  post(kPath, "{\"statement\":\"now\",\"transaction\":\"t\"}"),
		  "200" },
	};
	k.draining = true;
	for (const auto &t : cases) {
		k.refusing = t.refusing;
		Client c(k.settings.caller_listen);
		c.write(t.request);
		const std::string response = c.read();
		EXPECT_EQ(response.substr(9, 3), t.status)
			<< t.request << response;
		EXPECT_NE(response.find("Connection: close\r\n"),
			  response.npos);
		if (t.refusing && response.substr(9, 3) == "503") {
			EXPECT_NE(
				response.find("\"code\":\"draining\",\"step\":"
					      "\"drain\""),
				response.npos);
			EXPECT_NE(response.find("Retry-After: 1\r\n"),
				  response.npos);
		}
		EXPECT_TRUE(c.ended());
	}
}

// After a stop without a drain the caller gets "unknown"; the engine's later
// response is dropped.
TEST_F(CallerHttp, StopRespondsToRunningRequests)
{
	Client c(k.settings.caller_listen);
	c.write(post(kPath, "{\"statement\":\"hold\"}"));
	struct request *r = take_held();
	EXPECT_FALSE(caller_http_idle(http));
	caller_http_close(http);
	http = nullptr;
	const std::string response = c.read();
	EXPECT_EQ(response.substr(9, 3), "504") << response;
	EXPECT_NE(response.find("\"outcome\":\"unknown\""), response.npos);
	EXPECT_TRUE(c.ended());
	finish(r);
}

TEST_F(CallerHttp, SurvivesRandomMutations)
{
	caller_http_close(http);
	k.settings.caller_idle_ms = 200;
	open();
	std::mt19937 rng(7);
	const std::string good =
		post(kPath, kBody, kAuth + "Idempotency-Key: a\r\n");
	for (int i = 0; i < 300; i++) {
		std::string raw = good;
		for (unsigned n = 1 + rng() % 4; n > 0; n--) {
			const size_t at = rng() % raw.size();
			switch (rng() % 3) {
			case 0:
				raw[at] = (char)rng();
				break;
			case 1:
				raw.erase(at, 1 + rng() % 5);
				break;
			default:
				raw.insert(at, raw.substr(rng() % raw.size(),
							  rng() % 60));
			}
		}
		Client c(k.settings.caller_listen);
		c.write(raw);
	}
	until_idle();
	Client last(k.settings.caller_listen);
	last.write(good);
	EXPECT_EQ(last.read().substr(9, 3), "200");
}

TEST(CallerResponse, StatusFollowsOutcomeAndCode)
{
	const struct {
		enum outcome outcome;
		enum error_code code;
		int status;
	} cases[] = {
		{ OUTCOME_DONE, ERR_NONE, 200 },
		{ OUTCOME_NOT_RUN, ERR_OVER_RATE, 429 },
		{ OUTCOME_NOT_RUN, ERR_ID_REUSED, 409 },
		{ OUTCOME_NOT_RUN, ERR_NO_PRIMARY, 503 },
		{ OUTCOME_NOT_RUN, ERR_NONE, 503 },
		{ OUTCOME_NOT_RUN, ERR_UNKNOWN, 503 },
		{ OUTCOME_UNKNOWN, ERR_TIMEOUT, 504 },
		{ OUTCOME_UNKNOWN, ERR_OVER_RATE, 504 },
	};
	for (const auto &t : cases)
		EXPECT_EQ(caller_response_status(t.outcome, t.code), t.status);
}
} // namespace
