#include <gtest/gtest.h>
#include <string>

#include "../mutate.h"

extern "C" {
#include "platform/line_protocol.h"
}

namespace
{
std::string str(const struct str_view &t)
{
	return t.len ? std::string(t.ptr, t.len) : "";
}

TEST(LineProtocol, Callers)
{
	const struct {
		const char *line;
		enum caller_type type;
		const char *name; // database or id
		const char *key;
	} cases[] = {
		{ "START lepu270 u3f1", CALLER_START, "lepu270", "u3f1" },
		{ "START lepu270", CALLER_START, "lepu270", "" },
		{ "START", CALLER_BAD, "", "" },
		{ "TERMINATE", CALLER_TERMINATE, "", "" },
		{ "TERMINATE now", CALLER_BAD, "", "" },
		{ "QUERY 5c0e READ 1a4", CALLER_QUERY, "5c0e", "" },
		{ "QUERY - READ 1a4", CALLER_BAD, "", "" },
		{ "QUERY", CALLER_BAD, "", "" },
		{ "", CALLER_BAD, "", "" },
		{ "query 5c0e READ 1a4", CALLER_BAD, "", "" },
	};
	for (const auto &c : cases) {
		struct caller_msg m;
		line_protocol_parse_caller(c.line, strlen(c.line), &m);
		ASSERT_EQ(m.type, c.type) << c.line;
		if (m.type == CALLER_START) {
			EXPECT_EQ(str(m.database), c.name);
			EXPECT_EQ(str(m.key), c.key);
		} else if (m.type == CALLER_QUERY) {
			EXPECT_EQ(str(m.id), c.name);
		}
	}
}

TEST(LineProtocol, Statements)
{
	const struct {
		const char *text;
		enum verb verb;
		const char *name, *value, *rest;
		bool writes;
	} cases[] = {
		{ "BEGIN", VERB_BEGIN, "", "", "", false },
		{ "BEGIN READ", VERB_BEGIN_READ, "", "", "", false },
		{ "BEGIN WRITE", VERB_BAD, "", "", "", false },
		{ "COMMIT", VERB_COMMIT, "", "", "", false },
		{ "COMMIT now", VERB_BAD, "", "", "", false },
		{ "ROLLBACK", VERB_ROLLBACK, "", "", "", false },
		{ "READ 1a4", VERB_READ, "1a4", "", "", false },
		{ "READ", VERB_BAD, "", "", "", false },
		{ "READ a b", VERB_BAD, "", "", "", false },
		{ "WRITE 1a4 some data", VERB_WRITE, "1a4", "some data", "",
		  false },
		{ "WRITE 1a4", VERB_BAD, "", "", "", false },
		{ "SET zone of time", VERB_SET, "zone", "of time", "", false },
		{ "PREPARE s1 WRITE q2c", VERB_PREPARE, "s1", "q2c", "", true },
		{ "PREPARE s1 READ q2c", VERB_PREPARE, "s1", "q2c", "", false },
		{ "PREPARE s1 MERGE q2c", VERB_BAD, "", "", "", false },
		{ "EXECUTE s1 1a4 xk", VERB_EXECUTE, "s1", "", "1a4 xk",
		  false },
		{ "EXECUTE s1", VERB_BAD, "", "", "", false },
		{ "CLOSE s1", VERB_CLOSE, "s1", "", "", false },
		{ "AFTER 3.1 READ 1a4", VERB_BAD, "", "", "", false },
		{ "STATUS", VERB_BAD, "", "", "", false },
		{ "STEPDOWN 9", VERB_BAD, "", "", "", false },
		{ "RESET", VERB_BAD, "", "", "", false },
	};
	for (const auto &c : cases) {
		std::string line = std::string("QUERY id ") + c.text;
		struct caller_msg m;
		line_protocol_parse_caller(line.data(), line.size(), &m);
		ASSERT_EQ(m.type, CALLER_QUERY) << c.text;
		EXPECT_EQ(m.statement.verb, c.verb) << c.text;
		EXPECT_EQ(str(m.statement.text), c.text);
		if (c.verb == VERB_BAD)
			continue;
		EXPECT_EQ(str(m.statement.name), c.name) << c.text;
		EXPECT_EQ(str(m.statement.value), c.value) << c.text;
		EXPECT_EQ(str(m.statement.args), c.rest) << c.text;
		EXPECT_EQ(m.statement.is_write, c.writes) << c.text;
	}
}

TEST(LineProtocol, Replies)
{
	const struct {
		const char *line;
		enum reply_type type;
		char state;
		uint64_t term, position;
		enum reply_error_code code;
	} cases[] = {
		{ "READY I 3.1209", REPLY_READY, 'I', 3, 1209, REPLY_ERR_NONE },
		{ "READY T -", REPLY_READY, 'T', 0, 0, REPLY_ERR_NONE },
		{ "READY X -", REPLY_BAD, 0, 0, 0, REPLY_ERR_NONE },
		{ "READY I 3", REPLY_BAD, 0, 0, 0, REPLY_ERR_NONE },
		{ "READY I 3.x", REPLY_BAD, 0, 0, 0, REPLY_ERR_NONE },
		{ "READY I 3.99999999999999999999", REPLY_BAD, 0, 0, 0,
		  REPLY_ERR_NONE },
		{ "ROW a b", REPLY_ROW, 0, 0, 0, REPLY_ERR_NONE },
		{ "COMPLETE 7.1f3", REPLY_COMPLETE, 0, 0, 0, REPLY_ERR_NONE },
		{ "ERROR READONLY i-7f", REPLY_ERROR, 0, 0, 0,
		  REPLY_ERR_READ_ONLY },
		{ "ERROR LAGGING x", REPLY_ERROR, 0, 0, 0, REPLY_ERR_LAGGING },
		{ "ERROR TOOMANY", REPLY_ERROR, 0, 0, 0, REPLY_ERR_TOO_MANY },
		{ "ERROR NEWCODE x", REPLY_ERROR, 0, 0, 0, REPLY_ERR_FAILED },
		{ "ERROR", REPLY_BAD, 0, 0, 0, REPLY_ERR_NONE },
		{ "HELLO", REPLY_BAD, 0, 0, 0, REPLY_ERR_NONE },
	};
	for (const auto &c : cases) {
		struct reply_msg m;
		line_protocol_parse_reply(c.line, strlen(c.line), &m);
		EXPECT_EQ(m.type, c.type) << c.line;
		EXPECT_EQ(m.state, m.type == REPLY_READY ? c.state : m.state);
		EXPECT_EQ(m.code, c.code) << c.line;
		if (m.type == REPLY_READY) {
			EXPECT_EQ(m.at.term, c.term) << c.line;
			EXPECT_EQ(m.at.position, c.position) << c.line;
		}
	}
}

TEST(LineProtocol, StatusReplies)
{
	const struct {
		const char *row;
		bool good, primary;
		uint64_t term, position, held;
	} cases[] = {
		{ "replica 3 3.1209 0 12 2 17", true, false, 3, 1209, 0 },
		{ "replica 3 3.1209 4 12 2 17", true, false, 3, 1209, 4 },
		{ "primary 4 4.7 0 0 1 3", true, true, 4, 7, 0 },
		{ "observer 4 4.7 0 0 1 3", false, false, 0, 0, 0 },
		{ "replica 3", false, false, 0, 0, 0 },
		{ "replica x 3.1 0", false, false, 0, 0, 0 },
		{ "", false, false, 0, 0, 0 },
	};
	for (const auto &c : cases) {
		struct db_status_report r;
		struct str_view row = { c.row, strlen(c.row) };
		ASSERT_EQ(line_protocol_parse_status(row, &r), c.good) << c.row;
		if (!c.good)
			continue;
		EXPECT_EQ(r.is_primary, c.primary) << c.row;
		EXPECT_EQ(r.term, c.term) << c.row;
		EXPECT_EQ(r.received.position, c.position) << c.row;
		EXPECT_EQ(r.paused_term, c.held) << c.row;
	}
}

// Checks the exact bytes of all writers.
TEST(LineProtocol, Writers)
{
	const struct protocol *p = protocol_get();
	struct evbuffer *b = evbuffer_new();
	const struct log_pos at = { 3, 1207 };
	struct caller_msg m;
	std::string in = "QUERY 5c0e EXECUTE s1 1a4 some data";
	line_protocol_parse_caller(in.data(), in.size(), &m);
	p->put_start(b, "huvo11a", "team", "i-7f");
	p->put_begin(b, true, &at);
	p->put_begin(b, false, nullptr);
	p->put_set(b, "zone", "of time");
	p->put_prepare(b, "w_q2c", true, "q2c");
	p->put_statement(b, "5c0e", &m.statement, "w_q2c", nullptr);
	in = "QUERY 77 READ 1a4";
	line_protocol_parse_caller(in.data(), in.size(), &m);
	p->put_statement(b, "77", &m.statement, "", &at);
	p->put_control(b, CONTROL_PAUSE, 9);
	p->put_control(b, CONTROL_STATUS, 0);
	p->put_ready(b, STATE_OPEN, &at);
	p->put_error(b, REPLY_ERR_IN_DOUBT, "why");
	std::string out((const char *)evbuffer_pullup(b, -1),
			evbuffer_get_length(b));
	EXPECT_EQ(out, "START huvo11a team i-7f\r\n"
		       "QUERY - AFTER 3.1207 BEGIN READ\r\n"
		       "QUERY - BEGIN\r\n"
		       "QUERY - SET zone of time\r\n"
		       "QUERY - PREPARE w_q2c WRITE q2c\r\n"
		       "QUERY 5c0e EXECUTE w_q2c 1a4 some data\r\n"
		       "QUERY 77 AFTER 3.1207 READ 1a4\r\n"
		       "QUERY - PAUSE 9\r\n"
		       "QUERY - STATUS\r\n"
		       "READY T 3.1207\r\n"
		       "ERROR INDOUBT why\r\n");
	evbuffer_free(b);
}

// Whatever is received, every text of the result points into its line, and the
// line is not read beyond its end.
TEST(LineProtocol, Mutations)
{
	Mutator m(182304,
		  { "START lepu270 u3f1", "QUERY 5c0e READ 1a4",
		    "QUERY 5c0e WRITE 1a4 data and more",
		    "QUERY 5c0e PREPARE s1 WRITE q2c",
		    "QUERY 5c0e EXECUTE s1 1a4 x", "READY I 3.1209",
		    "ROW replica 3 3.1209 0 12 2 17", "ERROR BUSY x" },
		  { " ", "  ", "QUERY", "READY", ".", "18446744073709551616" });
	for (int i = 0; i < 60000; i++) {
		std::string s = m.next();
		// An exact copy, so that a sanitizer sees reads past its end.
		std::vector<char> line(s.begin(), s.end());
		struct caller_msg c;
		struct reply_msg r;
		struct db_status_report d;
		line_protocol_parse_caller(line.data(), line.size(), &c);
		line_protocol_parse_reply(line.data(), line.size(), &r);
		struct str_view row = { line.data(), line.size() };
		line_protocol_parse_status(row, &d);
		for (const struct str_view *t :
		     { &c.database, &c.key, &c.id, &c.statement.name,
		       &c.statement.value, &c.statement.args, &r.body }) {
			if (t->len == 0)
				continue;
			ASSERT_GE(t->ptr, line.data());
			ASSERT_LE(t->ptr + t->len, line.data() + line.size());
		}
	}
}
} // namespace
