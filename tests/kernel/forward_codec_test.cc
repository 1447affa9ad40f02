#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "kernel/forward_codec.h"
}

namespace
{
struct request *MakeRequest()
{
	struct request *r = request_create();
	r->op = OP_STATEMENT;
	r->kind = KIND_WRITE;
	strcpy(r->team, "spring-7");
	strcpy(r->key_id, "k1");
	strcpy(r->service, "quotedb1");
	r->statement = strdup("put ? ?");
	r->parameters = strdup("[\"q1\",5]");
	r->max_age_us = MAX_AGE_NONE;
	r->deadline = 5000;
	strcpy(r->request_id, "id-1");
	strcpy(r->body_hash, "00ff");
	strcpy(r->transaction, "v1.1.2.3");
	strcpy(r->token, "token");
	r->has_token = true;
	return r;
}

std::string PackRequest(const struct request *r)
{
	msgpack_sbuffer b;
	msgpack_sbuffer_init(&b);
	forward_pack(&b, 77, r, 1000);
	std::string s(b.data, b.size);
	msgpack_sbuffer_destroy(&b);
	return s;
}

std::string PackResponse(const struct request *r)
{
	msgpack_sbuffer b;
	msgpack_sbuffer_init(&b);
	forward_pack_answer(&b, 78, r);
	std::string s(b.data, b.size);
	msgpack_sbuffer_destroy(&b);
	return s;
}

TEST(ForwardCodec, RequestRoundTrip)
{
	struct request *r = MakeRequest();
	std::string s = PackRequest(r);
	uint64_t id = 0;
	struct request *q = forward_unpack(s.data(), s.size(), &id, 20000);
	ASSERT_NE(q, nullptr);
	EXPECT_EQ(id, 77u);
	EXPECT_EQ(q->op, r->op);
	EXPECT_EQ(q->kind, r->kind);
	EXPECT_STREQ(q->team, r->team);
	EXPECT_STREQ(q->key_id, r->key_id);
	EXPECT_STREQ(q->service, r->service);
	EXPECT_STREQ(q->statement, r->statement);
	EXPECT_STREQ(q->parameters, r->parameters);
	EXPECT_EQ(q->max_age_us, r->max_age_us);
	EXPECT_EQ(q->deadline, 24000); // 4 ms left, by the receiver's clock
	EXPECT_STREQ(q->request_id, r->request_id);
	EXPECT_STREQ(q->body_hash, r->body_hash);
	EXPECT_STREQ(q->transaction, r->transaction);
	EXPECT_STREQ(q->token, r->token);
	EXPECT_TRUE(q->has_token);
	EXPECT_TRUE(q->forwarded);
	request_destroy(q);
	request_destroy(r);
}

TEST(ForwardCodec, ResponseRoundTrip)
{
	struct request *r = MakeRequest();
	struct answer a;
	char service[NAME_MAX_BYTES];
	uint64_t id = 0;
	r->answer.outcome = OUTCOME_NOT_RUN;
	error_set(&r->answer.error, ERR_TX_GONE, STEP_TX_COMMIT, "10.0.0.1:1",
		  "gone");
	r->answer.rows = strdup("[{\"key\":\"a\"}]");
	r->answer.at = { 3, 9 };
	r->answer.age_us = -1;
	r->answer.retry_after_ms = 50;
	std::string s = PackResponse(r);
	ASSERT_EQ(forward_unpack_answer(s.data(), s.size(), &id, service, &a),
		  0);
	EXPECT_EQ(id, 78u);
	EXPECT_STREQ(service, "quotedb1");
	EXPECT_EQ(a.outcome, OUTCOME_NOT_RUN);
	EXPECT_EQ(a.error.code, ERR_TX_GONE);
	EXPECT_EQ(a.error.step, STEP_TX_COMMIT);
	EXPECT_STREQ(a.error.peer, "10.0.0.1:1");
	EXPECT_STREQ(a.rows, r->answer.rows);
	EXPECT_EQ(a.at.position, 9u);
	EXPECT_EQ(a.age_us, -1);
	EXPECT_EQ(a.retry_after_ms, 50);
	free(a.rows);
	request_destroy(r);
}

// Corrupted input is rejected, or decoded to values within their bounds.
TEST(ForwardCodec, SurvivesCorruptedInput)
{
	struct request *r = MakeRequest();
	const std::string good[] = { PackRequest(r), PackResponse(r) };
	std::mt19937 rng(20261203);
	int accepted = 0, refused = 0;
	for (int i = 0; i < 40000; i++) {
		std::string s = good[i % 2];
		uint64_t id;
		for (unsigned k = 0; k < 1 + rng() % 4; k++)
			s[rng() % s.size()] = (char)rng();
		if (rng() % 4 == 0)
			s.resize(rng() % (s.size() + 1));
		if (i % 2 == 0) {
			struct request *q =
				forward_unpack(s.data(), s.size(), &id, 20000);
			if (q) {
				EXPECT_LE(q->op, OP_ROLLBACK);
				EXPECT_LE(q->kind, KIND_WRITE);
				EXPECT_GE(q->deadline, 20000);
			}
			q ? accepted++ : refused++;
			request_destroy(q);
		} else {
			struct answer a;
			char service[NAME_MAX_BYTES];
			int rc = forward_unpack_answer(s.data(), s.size(), &id,
						       service, &a);
			if (rc == 0) {
				EXPECT_LE(a.outcome, OUTCOME_UNKNOWN);
				EXPECT_LT(a.error.code, ERR_COUNT);
			}
			rc == 0 ? accepted++ : refused++;
			free(a.rows);
		}
	}
	EXPECT_GT(accepted, 0);
	EXPECT_GT(refused, 0);
	request_destroy(r);
}
} // namespace
