#ifndef TESTS_SESSIONS_FAKE_PLATFORM_H
#define TESTS_SESSIONS_FAKE_PLATFORM_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

// Fake platform for tests of the form "sessions": its object store, its
// promotion call, and one service of three databases, in one process with one
// event loop. Faults are injected over HTTP: see FakePlatform::control().

struct Position {
	uint64_t term = 1;
	uint64_t number = 0;
	bool operator<(const Position &o) const
	{
		return term != o.term ? term < o.term : number < o.number;
	}
	std::string text() const
	{
		return std::to_string(term) + "." + std::to_string(number);
	}
};

struct Entry {
	Position at;
	std::string item;
	std::string data;
};

class FakePlatform;
class Database;

// One connection to a database.
struct Connection {
	Database *db = nullptr;
	bufferevent *bev = nullptr;
	bool started = false;
	char state = 'I';
	bool read_only = false; // the transaction began with BEGIN READ
	size_t snapshot = 0;	// log entries visible to the transaction
	std::vector<Entry> writes;
	std::map<std::string, std::string> vars;
	std::map<std::string, std::pair<bool, std::string>> prepared;
};

class Database
{
      public:
	Database(FakePlatform *platform, std::string id, bool primary);

	FakePlatform *platform;
	std::string id;
	bool primary;
	uint64_t term = 1;
	uint64_t paused_term = 0;
	std::vector<Entry> log;
	size_t applied = 0; // log entries visible to reads
	int port = 0;
	// Faults:
	bool running = true;
	bool departing = false;
	int lag_ms = 5;
	bool cut_off = false; // receives nothing from the primary
	// number of statements to execute and then leave without a reply, by
	// closing the connection
	int lose_replies = 0;
	int refuse_busy = 0; // number of statements to refuse as BUSY
	size_t max_connections = 40;
	bool mute = false; // takes requests and answers none of them

	void accept(evutil_socket_t fd);
	void close_all();
	Position end() const;
	bool has_position(const Position &p) const;
	uint64_t sequence = 0; // number of registrations
	uint64_t born = 1;     // incarnation: increases with each start
	std::set<Connection *> connections;

      private:
	static void on_read(bufferevent *bev, void *ctx);
	static void on_event(bufferevent *bev, short what, void *ctx);
	void line(Connection *c, const std::string &text);
	void query(Connection *c, const std::string &id, std::string text);
	void statement(Connection *c, const std::string &id,
		       const std::string &text);
	void read(Connection *c, const std::string &id, const std::string &item,
		  const std::string &shape);
	void write(Connection *c, const std::string &id,
		   const std::string &item, const std::string &data,
		   const std::string &shape);
	void commit(Connection *c, const std::string &id);
	void report(Connection *c);
	void complete(Connection *c, const std::string &id,
		      const std::string &row);
	void refuse(Connection *c, const std::string &code);
	void ready(Connection *c);
	void drop(Connection *c);
	std::string value(Connection *c, const std::string &item) const;
};

struct Object {
	std::string spec;
	uint64_t revision = 0;
};

class FakePlatform
{
      public:
	FakePlatform();
	~FakePlatform();
	FakePlatform(const FakePlatform &) = delete;
	FakePlatform &operator=(const FakePlatform &) = delete;
	// Prints the address and serves until the event loop ends.
	void run();

	event_base *base;
	std::string service = "quotes";
	std::vector<Database *> databases;
	uint64_t statements_run = 0;
	// Number of executions of each write by its id, to detect one that ran
	// twice.
	std::map<std::string, int> write_counts;

	void replicate(Database *from);
	void run_after(int ms, std::function<void()> fn);
	void register_db(Database *db);

      private:
	struct Watch {
		evhttp_request *req;
		std::string kind;
		uint64_t after;
	};

	static void on_store(evhttp_request *req, void *ctx);
	static void on_promote(evhttp_request *req, void *ctx);
	static void on_control(evhttp_request *req, void *ctx);
	void store(evhttp_request *req);
	void list(evhttp_request *req, const std::string &kind);
	void watch(evhttp_request *req, const std::string &kind, uint64_t after,
		   int wait_ms);
	void put(evhttp_request *req, const std::string &kind,
		 const std::string &name, bool create);
	void notify_watches(const std::string &kind, const std::string &name);
	void promote(evhttp_request *req);
	void control(evhttp_request *req);
	void write_config();
	std::string object(const std::string &name, const Object &o) const;

	evhttp *http;
	int http_port = 0;
	std::map<std::string, std::map<std::string, Object>> kinds;
	uint64_t revision = 1;
	// Watches from an earlier revision fail, as if the platform had
	// deleted its history.
	uint64_t history_from = 0;
	std::vector<Watch> watches;
	bool store_down = false;
	int store_lose_replies = 0;
	uint64_t last_token = 0;
	uint64_t config_version = 1;
	std::set<std::string> keys = { "key-1", "key-2" };
	uint32_t rate = 1000;
	std::vector<std::function<void()> *> timers;
};

#endif
