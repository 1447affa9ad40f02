#ifndef TESTS_SESSIONS_WORLD_H
#define TESTS_SESSIONS_WORLD_H

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

// A stand-in of the platform that the form "sessions" runs on: its store, its
// promotion call, and one service of three databases, in one process with one
// event loop. Faults are set over HTTP: see World::control().

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

class World;
class Database;

// One connection to a database.
struct Connection {
	Database *db = nullptr;
	bufferevent *bev = nullptr;
	bool started = false;
	char state = 'I';
	bool reads = false; // the transaction began as reading only
	size_t snapshot = 0;
	std::vector<Entry> writes;
	std::map<std::string, std::string> values;
	std::map<std::string, std::pair<bool, std::string>> prepared;
};

class Database
{
      public:
	Database(World *world, std::string id, bool primary);

	World *world;
	std::string id;
	bool primary;
	uint64_t term = 1;
	uint64_t held_term = 0;
	std::vector<Entry> log;
	size_t applied = 0; // entries that reads see
	int port = 0;
	// Faults:
	bool running = true;
	bool departing = false;
	int lag_ms = 5;
	bool deaf = false;    // takes nothing from the primary
	int lose_answers = 0; // run, then closed unanswered
	int refuse_busy = 0;  // the next answers are BUSY
	size_t max_connections = 40;

	void accept(evutil_socket_t fd);
	void close_all();
	Position end() const;
	bool holds(const Position &p) const;
	uint64_t sequence = 0;
	uint64_t born = 1;
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

class World
{
      public:
	World();
	~World();
	World(const World &) = delete;
	World &operator=(const World &) = delete;
	// Prints the ports, one a line, and serves until the base is ended.
	void run();

	event_base *base;
	std::string service = "quotes";
	std::vector<Database *> dbs;
	uint64_t runs = 0;
	// Statements by id, to find one that ran twice.
	std::map<std::string, int> writes_run;

	void replicate(Database *from);
	void after(int ms, std::function<void()> fn);
	void beat(Database *db);

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
	void changed(const std::string &kind, const std::string &name);
	void promote(evhttp_request *req);
	void control(evhttp_request *req);
	void configure();
	std::string object(const std::string &name, const Object &o) const;

	evhttp *http;
	int http_port = 0;
	std::map<std::string, std::map<std::string, Object>> kinds;
	uint64_t revision = 1;
	uint64_t history = 0; // watches from before are told that it is gone
	std::vector<Watch> watches;
	bool store_down = false;
	int store_lose = 0;
	uint64_t last_token = 0;
	uint64_t config_version = 1;
	std::set<std::string> keys = { "key-1", "key-2" };
	uint32_t rate = 1000;
	std::vector<std::function<void()> *> timers;
};

#endif
