#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "plugins/caller_body.h"
}

namespace
{
const struct caller_limits kLimits = { 2000, 30000 };
const usec_t kArrived = 5000000;

struct Parsed {
	int rc;
	struct error error = {};
	struct request *r = request_create();
	Parsed(const std::string &body, bool statement = true)
	{
		r->arrived_at = kArrived;
		rc = statement ? caller_body_statement(r, body.data(),
						       body.size(), &kLimits,
						       &error)
			       : caller_body_transaction(r, body.data(),
							 body.size(), &kLimits,
							 &error);
	}
	~Parsed()
	{
		request_destroy(r);
	}
};

TEST(CallerBody, ReadsEveryField)
{
	const Parsed p("{\"statement\":\"get ?\",\"parameters\":[ \"k\", 1.5,"
		       "null, {\"b\":1,\"a\":2}],\"kind\":\"read\","
		       "\"max_age_ms\":250,\"deadline_ms\":90}");
	ASSERT_EQ(p.rc, 0) << p.error.message;
	EXPECT_STREQ(p.r->statement, "get ?");
	EXPECT_STREQ(p.r->parameters, "[\"k\",1.5,null,{\"a\":2,\"b\":1}]");
	EXPECT_EQ(p.r->kind, KIND_READ);
	EXPECT_EQ(p.r->max_age_us, 250000);
	EXPECT_EQ(p.r->deadline, kArrived + 90000);
}

TEST(CallerBody, FillsInDefaults)
{
	const Parsed p("{\"statement\":\"x\",\"transaction\":\"t.1\"}");
	ASSERT_EQ(p.rc, 0);
	EXPECT_EQ(p.r->kind, KIND_WRITE);
	EXPECT_EQ(p.r->max_age_us, MAX_AGE_NONE);
	EXPECT_EQ(p.r->deadline, kArrived + 2000000);
	EXPECT_EQ(p.r->parameters, nullptr);
	EXPECT_STREQ(p.r->transaction, "t.1");
}

std::string make_nested(int depth)
{
	return "{\"statement\":\"x\",\"parameters\":" +
	       std::string(depth, '[') + std::string(depth, ']') + "}";
}

TEST(CallerBody, RejectsInvalidStatements)
{
	const std::string s = "{\"statement\":\"x\",";
	const struct {
		std::string body;
		enum error_code code;
		const char *message;
	} cases[] = {
		{ "", ERR_BAD_REQUEST, "not JSON" },
		{ "{", ERR_BAD_REQUEST, "not JSON" },
		{ "{\"statement\":\"x\"} 1", ERR_BAD_REQUEST, "not JSON" },
		{ "{\"statement\":\"x\\u0000\"}", ERR_BAD_REQUEST, "not JSON" },
		{ "{\"statement\":\"\xff\"}", ERR_BAD_REQUEST, "not JSON" },
		{ "[]", ERR_BAD_REQUEST, "object" },
		{ "null", ERR_BAD_REQUEST, "not JSON" },
		{ s + "\"statement\":\"y\"}", ERR_BAD_REQUEST, "twice" },
		{ make_nested(BODY_DEPTH_MAX), ERR_BAD_REQUEST, "deeper" },
		{ make_nested(3000), ERR_BAD_REQUEST, "not JSON" },
		{ "{}", ERR_UNPROCESSABLE, "statement: missing" },
		{ "{\"statement\":7}", ERR_UNPROCESSABLE, "statement" },
		{ "{\"statement\":\"\"}", ERR_UNPROCESSABLE, "statement" },
		{ s + "\"parameters\":{}}", ERR_UNPROCESSABLE, "parameters" },
		{ s + "\"kind\":\"Read\"}", ERR_UNPROCESSABLE, "kind" },
		{ s + "\"kind\":1}", ERR_UNPROCESSABLE, "kind" },
		{ s + "\"max_age_ms\":-1}", ERR_UNPROCESSABLE, "max_age_ms" },
		{ s + "\"max_age_ms\":1}", ERR_UNPROCESSABLE, "only for" },
		{ s + "\"max_age_ms\":1.5}", ERR_UNPROCESSABLE, "max_age_ms" },
		{ s + "\"kind\":\"read\",\"max_age_ms\":3600001}",
		  ERR_UNPROCESSABLE, "from 0 to 3600000" },
		{ s + "\"kind\":\"read\",\"max_age_ms\":1,\"transaction\":"
		      "\"t\"}",
		  ERR_UNPROCESSABLE, "transaction" },
		{ s + "\"deadline_ms\":0}", ERR_UNPROCESSABLE, "deadline_ms" },
		{ s + "\"deadline_ms\":30001}", ERR_UNPROCESSABLE, "30000" },
		{ s + "\"deadline_ms\":\"9\"}", ERR_UNPROCESSABLE,
		  "deadline_ms" },
		{ s + "\"deadline_ms\":99999999999999999999}", ERR_BAD_REQUEST,
		  "not JSON" },
		{ s + "\"transaction\":\"\"}", ERR_UNPROCESSABLE,
		  "transaction" },
		{ s + "\"transaction\":\"" + std::string(96, 'a') + "\"}",
		  ERR_UNPROCESSABLE, "95" },
		{ s + "\"transaction\":null}", ERR_UNPROCESSABLE,
		  "transaction" },
		{ s + "\"tx\":1}", ERR_UNPROCESSABLE, "tx: unknown field" },
	};
	for (const auto &c : cases) {
		const Parsed p(c.body);
		EXPECT_EQ(p.rc, -1) << c.body;
		EXPECT_EQ(p.error.code, c.code) << c.body;
		EXPECT_EQ(p.error.step, STEP_PARSE);
		EXPECT_NE(strstr(p.error.message, c.message), nullptr)
			<< c.body << ": " << p.error.message;
	}
	EXPECT_EQ(Parsed(make_nested(BODY_DEPTH_MAX - 1)).rc, 0);
}

TEST(CallerBody, ReadsTransactionBodies)
{
	const struct {
		const char *body;
		int rc;
		usec_t deadline;
	} cases[] = {
		{ "", 0, kArrived + 2000000 },
		{ "{}", 0, kArrived + 2000000 },
		{ "{\"deadline_ms\":5}", 0, kArrived + 5000 },
		{ "{\"statement\":\"x\"}", -1, 0 },
		{ "7", -1, 0 },
	};
	for (const auto &c : cases) {
		const Parsed p(c.body, false);
		EXPECT_EQ(p.rc, c.rc) << c.body;
		if (c.rc == 0) {
			EXPECT_EQ(p.r->deadline, c.deadline);
		}
	}
}

TEST(CallerBody, HashDiffersForDifferentRequests)
{
	const struct {
		const char *body;
		bool same;
	} cases[] = {
		{ "{\"statement\":\"put a b\",\"parameters\":[1, {\"y\":2,"
		  "\"x\":1}],\"deadline_ms\":7}",
		  true },
		{ "{\"parameters\":[1,{\"x\":1,\"y\":2}],"
		  "\"statement\":\"put a b\"}",
		  true },
		{ "{\"statement\":\"put a b\",\"parameters\":[1,{\"x\":1,"
		  "\"y\":3}]}",
		  false },
		{ "{\"statement\":\"put a c\",\"parameters\":[1,{\"x\":1,"
		  "\"y\":2}]}",
		  false },
		{ "{\"statement\":\"put a b\"}", false },
		{ "{\"statement\":\"put a b\",\"parameters\":[1,{\"x\":1,"
		  "\"y\":2}],\"transaction\":\"t\"}",
		  false },
	};
	std::string first;
	for (const auto &c : cases) {
		const Parsed p(c.body);
		ASSERT_EQ(p.rc, 0) << p.error.message;
		caller_body_hash(p.r);
		EXPECT_EQ(strlen(p.r->body_hash), 32u);
		if (first.empty())
			first = p.r->body_hash;
		EXPECT_EQ(first == p.r->body_hash, c.same) << c.body;
	}
}

// Parsing arbitrary bytes must end, with an error or with values within bounds.
TEST(CallerBody, RandomMutationsStayWithinBounds)
{
	std::mt19937 rng(3);
	const std::string good =
		"{\"statement\":\"put ? ?\",\"parameters\":[\"k\",[1,{}]],"
		"\"kind\":\"read\",\"max_age_ms\":250,\"deadline_ms\":90}";
	int accepted = 0;
	for (int i = 0; i < 50000; i++) {
		std::string body = good;
		for (unsigned n = 1 + rng() % 3; n > 0 && !body.empty(); n--) {
			const size_t at = rng() % body.size();
			switch (rng() % 4) {
			case 0:
				body[at] = (char)rng();
				break;
			case 1:
				body.erase(at, 1 + rng() % 9);
				break;
			case 2:
				body.insert(at, rng() % 40, "[{\"9"[rng() % 4]);
				break;
			default:
				body.insert(at, body.substr(rng() % body.size(),
							    rng() % 30));
			}
		}
		const Parsed p(body);
		if (p.rc == -1) {
			ASSERT_NE(p.error.code, ERR_NONE);
			continue;
		}
		accepted++;
		ASSERT_NE(p.r->statement, nullptr);
		ASSERT_GT(p.r->deadline, kArrived);
		ASSERT_LE(p.r->deadline, kArrived + 30000000);
		ASSERT_LE(p.r->max_age_us, MAX_AGE_MAX_MS * 1000LL);
	}
	EXPECT_GT(accepted, 100);
}
} // namespace
