#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "decide/stream_record.h"
}

namespace
{
constexpr usec_t kNow = 100 * USEC_PER_SEC;

struct Record : stream_record {
	Record() : stream_record{}
	{
	}
	~Record()
	{
		stream_record_free(this);
	}
	Record(const Record &) = delete;
	Record &operator=(const Record &) = delete;
	void keep(uint64_t number, const std::string &result, usec_t now)
	{
		stream_record_keep(this, number, result.data(), result.size(),
				   now);
	}
};

// Guards against a statement that runs twice, and against one that runs
// although its VM was told that it never will.
TEST(StreamRecord, ReceivesRisingNumbersUntilClosed)
{
	Record old;
	Record next;

	EXPECT_TRUE(stream_record_receive(&old, 3));
	EXPECT_FALSE(stream_record_receive(&old, 3));
	EXPECT_FALSE(stream_record_receive(&old, 2));
	EXPECT_TRUE(stream_record_receive(&old, 7));
	stream_record_close(&old, &next);
	EXPECT_FALSE(stream_record_receive(&old, 8));
	EXPECT_FALSE(stream_record_receive(&next, 7)) << "ran on the first";
	EXPECT_TRUE(stream_record_receive(&next, 8));
}

// Statements 3, 5 and 7 arrived, the result of 3 was kept.
TEST(StreamRecord, TellsWhatBecameOfAStatement)
{
	const struct {
		const char *name;
		uint64_t number;
		bool is_running;
		bool is_closed;
		enum stream_state state;
	} cases[] = {
		{ "its result is kept", 3, false, true, STREAM_DONE },
		{ "it runs", 5, true, true, STREAM_RUNNING },
		{ "it ended and nothing is known", 7, false, true,
		  STREAM_UNKNOWN },
		{ "below the highest, never seen", 4, false, true,
		  STREAM_UNKNOWN },
		{ "above the highest", 8, false, true, STREAM_NEVER_RECEIVED },
		{ "above, but it may yet arrive", 8, false, false,
		  STREAM_UNKNOWN },
	};
	for (const auto &c : cases) {
		Record old;
		Record next;

		for (uint64_t n : { 3, 5, 7 })
			EXPECT_TRUE(stream_record_receive(&old, n));
		old.keep(3, "three", kNow);
		if (c.is_closed)
			stream_record_close(&old, &next);
		EXPECT_EQ(
			stream_record_ask(&old, &next, c.number, c.is_running),
			c.state)
			<< c.name;
	}
}

// Guards against "never received" on the third link for a statement that was
// moved from the first to the second and has ended there since.
TEST(StreamRecord, RemembersOverSeveralLinks)
{
	Record first;
	Record second;
	Record third;

	EXPECT_TRUE(stream_record_receive(&first, 4));
	stream_record_close(&first, &second);
	EXPECT_EQ(stream_record_ask(&first, &second, 4, true), STREAM_RUNNING);
	EXPECT_EQ(stream_record_ask(&first, &second, 9, false),
		  STREAM_NEVER_RECEIVED);
	EXPECT_FALSE(stream_record_receive(&second, 9)) << "told never to run";
	stream_record_close(&second, &third);
	EXPECT_EQ(stream_record_ask(&second, &third, 4, false), STREAM_UNKNOWN);
	EXPECT_EQ(stream_record_ask(&second, &third, 9, false), STREAM_UNKNOWN);
}

TEST(StreamRecord, KeepsResultsWithinBounds)
{
	const struct {
		const char *name;
		uint64_t n;
		size_t size;
		usec_t apart;
		uint64_t kept; // the newest ones
	} cases[] = {
		{ "few", 10, 100, 1, 10 },
		{ "many", 600, 10, 1, STREAM_RECORD_RESULTS_MAX },
		{ "large", 100, 4096, 1, STREAM_RECORD_BYTES_MAX / 4096 },
		{ "too large", 2, STREAM_RECORD_BYTES_MAX + 1, 1, 0 },
		{ "old", 9, 100, STREAM_RECORD_KEPT_US / 2, 3 },
	};
	for (const auto &c : cases) {
		Record r;
		uint64_t found = 0;

		for (uint64_t i = 1; i <= c.n; i++)
			r.keep(i, std::string(c.size, 'x'),
			       kNow + (usec_t)i * c.apart);
		for (uint64_t i = 1; i <= c.n; i++) {
			bool is_kept = stream_record_find(&r, i) != nullptr;

			EXPECT_EQ(is_kept, i > c.n - c.kept) << c.name << i;
			found += is_kept;
		}
		EXPECT_EQ(r.n_results, found) << c.name;
		EXPECT_LE(r.n_bytes, STREAM_RECORD_BYTES_MAX) << c.name;
	}
}

// A message in either direction. RESUME and RESUMED carry the numbers asked
// for.
struct Message {
	enum { RUN, RESUME, RESUMED, DONE } type;
	uint64_t number;
	uint64_t old_link;
	std::map<uint64_t, enum stream_state> asked;
};

// One connection: what is on its way in each direction, in order.
struct Link {
	uint64_t id;
	bool is_silent = false;
	bool is_open = true;  // at the server
	bool is_lost = false; // by a restart of the server
	std::deque<Message> to_server;
	std::deque<Message> to_client;
	Record record;
	std::set<uint64_t> running;
};

// Two VMs with links between them, at any moment of which a connection may fall
// silent and the server restart. Each statement is run at most once and gets at
// most one result.
class Play
{
      public:
	explicit Play(uint32_t seed) : random(seed)
	{
		open();
	}

	void step()
	{
		now += (usec_t)(random() % 60) * USEC_PER_MSEC;
		switch (random() % 16) {
		case 0:
		case 1:
		case 2:
			send_run(++next_statement);
			break;
		case 3:
			current->is_silent = true;
			break;
		case 4:
		case 5:
			replace();
			break;
		case 6:
			if (random() % 20 == 0)
				restart();
			break;
		case 7:
		case 8:
		case 9:
			finish_one();
			break;
		default:
			deliver_any();
			break;
		}
	}

	uint64_t n_never = 0, n_done = 0, n_running = 0, n_unknown = 0;
	uint64_t n_results = 0;

      private:
	void open()
	{
		links.push_back(std::make_unique<Link>());
		current = links.back().get();
		current->id = ++next_number;
	}

	void send_run(uint64_t statement)
	{
		uint64_t number = ++next_number;

		waiting[number] = statement;
		current->to_server.push_back({ Message::RUN, number, 0, {} });
	}

	// The client opens a second link, unless one is unanswered.
	void replace()
	{
		Link *old = current;
		Message m = { Message::RESUME, 0, old->id, {} };

		if (is_resuming && random() % 4)
			return;
		if (is_resuming) { // given up: all outcomes are unknown
			waiting.clear();
			is_resuming = false;
			open();
			return;
		}
		for (const auto &w : waiting)
			m.asked[w.first] = STREAM_UNKNOWN;
		open();
		current->to_server.push_back(m);
		is_resuming = true;
	}

	// The server forgets everything, which the client learns when it asks.
	void restart()
	{
		for (auto &l : links) {
			l->is_open = false;
			l->is_lost = true;
			l->running.clear();
		}
	}

	void finish_one()
	{
		for (auto &l : links) {
			if (l->running.empty())
				continue;
			uint64_t number = *l->running.begin();
			l->running.erase(number);
			// Some results are too large to be kept.
			if (random() % 4)
				l->record.keep(number, "result", now);
			l->to_client.push_back(
				{ Message::DONE, number, 0, {} });
			return;
		}
	}

	void deliver_any()
	{
		size_t from = links.size() > 4 ? links.size() - 4 : 0;
		Link &l = *links[from + random() % (links.size() - from)];

		if (l.is_silent)
			return;
		if (random() % 2 && !l.to_server.empty()) {
			Message m = l.to_server.front();
			l.to_server.pop_front();
			if (!l.is_lost)
				at_server(l, m);
		} else if (!l.to_client.empty()) {
			Message m = l.to_client.front();
			l.to_client.pop_front();
			at_client(l, m);
		}
	}

	void at_server(Link &l, const Message &m)
	{
		if (m.type == Message::RUN) {
			if (!stream_record_receive(&l.record, m.number)) {
				EXPECT_FALSE(l.is_open) << "does not rise";
				return;
			}
			EXPECT_FALSE(never.count(m.number)) << "told never";
			EXPECT_EQ(++runs[statement_of(m.number)], 1);
			l.running.insert(m.number);
			return;
		}
		Link *old = nullptr;
		for (auto &o : links) {
			if (o->id == m.old_link && o->is_open)
				old = o.get();
		}
		Message answer = { Message::RESUMED, 0, 0, m.asked };
		if (old) {
			old->is_open = false;
			stream_record_close(&old->record, &l.record);
		}
		for (auto &a : answer.asked)
			a.second = old ? ask(*old, l, a.first) : STREAM_UNKNOWN;
		if (old) // what was not asked for is cancelled
			old->running.clear();
		l.to_client.push_back(answer);
		for (const auto &a : answer.asked) {
			if (a.second == STREAM_DONE)
				l.to_client.push_back(
					{ Message::DONE, a.first, 0, {} });
		}
	}

	enum stream_state ask(Link &old, Link &l, uint64_t number)
	{
		bool is_running = old.running.count(number) > 0;
		enum stream_state s = stream_record_ask(&old.record, &l.record,
							number, is_running);

		if (is_running) {
			old.running.erase(number);
			l.running.insert(number);
		}
		if (s == STREAM_NEVER_RECEIVED) {
			EXPECT_EQ(runs[statement_of(number)], 0);
			never.insert(number);
		}
		return s;
	}

	void at_client(const Link &l, const Message &m)
	{
		if (m.type == Message::DONE) {
			auto w = waiting.find(m.number);
			if (w == waiting.end())
				return;
			EXPECT_TRUE(answered.insert(w->second).second);
			EXPECT_EQ(runs[w->second], 1);
			waiting.erase(w);
			n_results++;
			return;
		}
		if (&l != current || !is_resuming)
			return;
		is_resuming = false;
		for (const auto &a : m.asked) {
			auto w = waiting.find(a.first);
			if (w == waiting.end())
				continue;
			uint64_t statement = w->second;
			n_never += a.second == STREAM_NEVER_RECEIVED;
			n_done += a.second == STREAM_DONE;
			n_running += a.second == STREAM_RUNNING;
			n_unknown += a.second == STREAM_UNKNOWN;
			if (a.second == STREAM_NEVER_RECEIVED ||
			    a.second == STREAM_UNKNOWN)
				waiting.erase(w);
			if (a.second == STREAM_NEVER_RECEIVED)
				send_run(statement);
		}
	}

	uint64_t statement_of(uint64_t number)
	{
		if (!statements.count(number))
			statements[number] = waiting.count(number)
						     ? waiting[number]
						     : 1000000 + number;
		return statements[number];
	}

	std::mt19937 random;
	usec_t now = kNow;
	uint64_t next_number = 0;
	uint64_t next_statement = 0;
	std::vector<std::unique_ptr<Link>> links;
	Link *current;
	bool is_resuming = false;
	std::map<uint64_t, uint64_t> waiting; // number to statement
	std::map<uint64_t, uint64_t> statements;
	std::map<uint64_t, int> runs; // of each statement
	std::set<uint64_t> never;
	std::set<uint64_t> answered;
};

TEST(StreamRecord, RunsNothingTwiceInAnyInterleaving)
{
	uint64_t never = 0;
	uint64_t done = 0;
	uint64_t running = 0;
	uint64_t unknown = 0;
	uint64_t results = 0;

	for (uint32_t seed = 1; seed <= 2000; seed++) {
		Play play(seed);

		SCOPED_TRACE(seed);
		for (int i = 0; i < 400 && !HasFailure(); i++)
			play.step();
		never += play.n_never;
		done += play.n_done;
		running += play.n_running;
		unknown += play.n_unknown;
		results += play.n_results;
	}
	// Each outcome must have occurred, or the plays show nothing.
	EXPECT_GT(never, 100u);
	EXPECT_GT(done, 100u);
	EXPECT_GT(running, 100u);
	EXPECT_GT(unknown, 100u);
	EXPECT_GT(results, 1000u);
}
} // namespace
