#ifndef TESTS_SESSIONS_FAKE_PLATFORM_H
#define TESTS_SESSIONS_FAKE_PLATFORM_H

#include <cstdint>
#include <deque>
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

#include "object_history.h"

// Fake platform for tests of the form "sessions": its object store, its
// promotion call, and one service of three databases, in one process with one
// event loop. "add_service" adds services of two databases, which have no
// failovers. Faults are injected over HTTP: see FakePlatform::control().

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
	Database(FakePlatform *platform, std::string id, std::string service,
		 bool primary);

	FakePlatform *platform;
	std::string id;
	std::string service;
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
	// Statements that have arrived, in transactions too, and when the last
	// one did; requests for the status or a promotion don't count.
	uint64_t n_arrived = 0;
	int64_t arrived_at = 0;
	// The arrivals of the last second, and the most of any second.
	std::deque<int64_t> last_arrivals;
	size_t peak_per_s = 0;
	int64_t cold_until = 0; // its entry says that it is cold until then
	int refuse_busy = 0;	// number of statements to refuse as BUSY
	size_t max_connections = 40;
	bool mute = false;   // takes requests and answers none of them
	bool lapsed = false; // has no entry, as if the store heard nothing
	// Does not hear of promotions or of the other databases, nor they of
	// it; VMs reach it.
	bool unreachable = false;

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
	void count(const std::string &verb);
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
	static constexpr const char *kMainService = "quotes";
	std::vector<std::string> services;
	std::vector<Database *> databases; // of all services
	uint64_t statements_run = 0;
	// Number of executions of each write by its id, to detect one that ran
	// twice.
	std::map<std::string, int> write_counts;
	// Number of commits with writes at a primary after another one was
	// promoted.
	uint64_t old_commits = 0;

	void replicate(Database *from);
	// True if a commit may be acknowledged: enough replicas have received
	// the primary's log.
	bool is_replicated(const Database *from) const;
	void run_after(int ms, std::function<void()> fn);
	// A steady clock, in milliseconds.
	static int64_t now_ms();
	void register_db(Database *db);
	// Registers a cold database again at intervals, until it is not.
	void check_in_while_cold(Database *db);
	// Returns the service's primary of the newest term, or NULL.
	Database *
	newest_primary(const std::string &service = kMainService) const;

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
	int write(const std::string &kind, const std::string &path_name,
		  bool create, const std::string &text, std::string *reply);
	void notify_watches(const std::string &kind, const std::string &name);
	void promote(evhttp_request *req);
	void record_promotion(uint64_t token, const std::string &holder,
			      const std::string &id);
	void promotion_takes_effect(Database *to);
	void set_unreachable(Database *db, bool unreachable);
	void control(evhttp_request *req);
	bool control_database(evhttp_request *req, const std::string &what,
			      int n);
	void write_foreign(const std::string &kind, const std::string &name,
			   const std::string &spec, int depth);
	bool control_store(evhttp_request *req, const std::string &what, int n);
	void set_evacuated(const std::string &zone, bool evacuated);
	void put_evacuations();
	std::string counters() const;
	std::string writes() const;
	void add_service(const std::string &name, int n);
	void write_config();
	void put_config();
	static void relay_peer(std::string *spec);
	std::string object(const std::string &name, const Object &o) const;
	void store_reply(evhttp_request *req, int code,
			 const std::string &text);

	// A restoration of the store from an older copy; times are in
	// milliseconds.
	struct Restoration {
		std::string event; // what it follows; "": nothing
		int64_t age = 0;   // of the copy
		int down = 0;	   // how long the store is away
		int rewrite = 0;   // from its return until others write again
	};

	static void on_store_connection_closed(evhttp_connection *c, void *ctx);
	void keep_store_connection(evhttp_request *req);
	void close_store_connections();
	void silence_store_connections(int percent);
	static bool drop_input(bufferevent *bev);
	void silence_database_connections(int percent);
	void note_departure(const Database *db);
	void note_claim();
	void note_list(const std::string &kind);
	void refuse_while_away(evhttp_request *req);
	void restore(const Restoration &r);
	void come_back(const Restoration &r, int64_t at);
	void write_again();
	void restore_after(const std::string &event);
	uint32_t random();

	evhttp *http;
	int http_port = 0;
	int second_port = 0; // of the store, for VMs that it may turn away
	Objects kinds;
	// Deleted objects, with the revision of the deletion.
	Objects deleted;
	ObjectHistory history;
	uint64_t revision = 1;
	// Watches from an earlier revision fail, as if the platform had
	// deleted its history.
	uint64_t history_from = 0;
	std::vector<Watch> watches;
	bool store_down = false;
	// How calls to the second port fail.
	enum class TurnAway { no, busy, silent, reset };
	TurnAway turn_away = TurnAway::no;
	void set_turn_away(TurnAway how);
	bool is_turned_away(evhttp_request *req);
	// Watches hear nothing, and are not answered any more.
	bool watches_deaf = false;
	void set_watches_deaf(bool deaf);
	int store_lose_replies = 0;
	uint64_t era = 3;
	bool tells_era = true;
	// VMs reach each other at 127.0.0.2 instead of 127.0.0.1, where a
	// relay of the test listens.
	bool relay_peers = false;
	bool away = false; // until it comes back as an older copy
	std::set<evhttp_connection *> store_connections;
	// The newest announced departure of a primary, and what followed it:
	// the first list that tells it, and the first claim. 0: none.
	int64_t departed_at = 0;
	int64_t listed_at = 0;
	int64_t claimed_at = 0;
	// The next write of a claim is executed so much later, without an
	// answer; 0: none is held.
	int late_claim_ms = 0;
	int late_claim_code = 0; // status of the newest such write; 0: none
	uint64_t n_claims = 0;
	uint64_t n_silenced = 0; // connections that fell silent
	uint64_t n_store_calls = 0;
	// What is to be written again, or was not accepted while it was away.
	std::set<std::string> waiting_databases;
	bool config_waits = false;
	std::set<std::string> evacuated; // as the operator wants it
	bool evacuations_wait = false;
	uint64_t n_evacuation_calls = 0; // for that kind, answered or not
	Restoration armed;
	uint64_t n_restored = 0;
	uint32_t seed = 1;
	// Lists of the store before the newest restoration that are still under
	// way.
	int old_replies = 0;
	int old_replies_next = 0; // after the next restoration
	Objects old_kinds;
	uint64_t old_revision = 0;
	uint64_t old_era = 0;

	// Promotions.
	struct Promotion {
		uint64_t token;
		std::string holder;
	};
	std::vector<Promotion> promotions; // accepted ones
	uint64_t last_token = 0;	   // the highest
	bool checks_token = true;
	uint64_t n_repeated = 0; // tokens that came from another holder before
	uint64_t n_fell = 0;	 // tokens below an earlier one
	uint64_t n_effects = 0;
	int effect_ms = 20; // from a promotion's answer to its effect
	uint64_t config_version = 1;
	std::string config_spec; // the newest one that the operator wrote
	std::set<std::string> keys = { "key-1", "key-2" };
	uint32_t rate = 1000;
	uint32_t cold_per_s = 0;
	int sync_replicas = 0;
	// The service of a route that leads elsewhere than to the main one.
	std::map<std::string, std::string> leads;
	// Regions in which a route, or the team "team", may run; as JSON.
	std::map<std::string, std::string> homes;
	std::string homes_field(const std::string &of) const;
	void set_homes(const std::string &of, const std::string &region);
	std::vector<std::function<void()> *> timers;
};

#endif
