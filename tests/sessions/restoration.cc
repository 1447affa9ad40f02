#include <algorithm>
#include <cstdlib>
#include <ctime>

#include "fake_platform.h"
#include "http_request.h"

// Restorations of the store: it is away for a moment and comes back from a copy
// that is some time old, in a new era. The operator and the databases write
// again what is missing in the copy; nobody else does.

int64_t FakePlatform::now_ms()
{
	timespec t;
	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

// Returns the next number of a fixed sequence.
uint32_t FakePlatform::random()
{
	seed = seed * 1664525 + 1013904223;
	return seed >> 16;
}

// Keeps the connection of a request to the store until it ends.
void FakePlatform::keep_store_connection(evhttp_request *req)
{
	evhttp_connection *c = evhttp_request_get_connection(req);
	if (store_connections.insert(c).second)
		evhttp_connection_set_closecb(c, on_store_connection_closed,
					      this);
}

void FakePlatform::on_store_connection_closed(evhttp_connection *c, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->store_connections.erase(c);
}

// Closes all connections to the store; the watches on them end without a reply.
void FakePlatform::close_store_connections()
{
	watches.clear();
	std::set<evhttp_connection *> open;
	open.swap(store_connections);
	for (auto *c : open)
		evhttp_connection_free(c);
}

// Refuses a call while the store is away, with a 503 or by closing the
// connection.
void FakePlatform::refuse_while_away(evhttp_request *req)
{
	if (random() % 2)
		store_reply(req, 503, "");
	else
		evhttp_connection_free(evhttp_request_get_connection(req));
}

// Takes the store away at once, and plans its return as an older copy. Its
// connections are closed a little later, so that the replies to what it has
// accepted are sent.
void FakePlatform::restore(const Restoration &r)
{
	if (away)
		return;
	int64_t at = now_ms() - r.age;
	away = true;
	old_kinds = kinds;
	old_revision = revision;
	old_era = era;
	run_after(2, [this] { close_store_connections(); });
	run_after(r.down + 2, [this, r, at] { come_back(r, at); });
}

// Returns as the store was at this time. Lists what the operator and the
// databases have to write again, and plans that.
void FakePlatform::come_back(const Restoration &r, int64_t at)
{
	kinds = history.copy(at, &revision);
	history.cut(at);
	deleted.clear();
	history_from = std::min(history_from, revision);
	if (tells_era)
		era++;
	away = false;
	n_restored++;
	old_replies = old_replies_next;
	old_replies_next = 0;
	if (kinds["config"]["main"].spec != config_spec)
		config_waits = true;
	std::set<std::string> copied;
	for (const auto &o : kinds["evacuations"])
		copied.insert(o.first);
	evacuations_wait |= copied != evacuated;
	for (auto *db : databases) {
		const auto &then = kinds["servers"];
		const auto &before = old_kinds["servers"];
		auto a = then.find(db->id);
		auto b = before.find(db->id);
		if ((a == then.end()) != (b == before.end()) ||
		    (a != then.end() && a->second.spec != b->second.spec))
			waiting_databases.insert(db->id);
	}
	printf("restored era %llu revision %llu of %llu age %lld\n",
	       (unsigned long long)era, (unsigned long long)revision,
	       (unsigned long long)old_revision, (long long)r.age);
	fflush(stdout);
	run_after(r.rewrite, [this] { write_again(); });
}

// Writes what the operator and the databases wrote before, in a random order.
// What they have written since the return is not repeated.
void FakePlatform::write_again()
{
	std::vector<std::string> names(waiting_databases.begin(),
				       waiting_databases.end());
	if (config_waits)
		names.push_back("");
	if (evacuations_wait)
		put_evacuations();
	for (size_t i = names.size(); i > 1; i--)
		std::swap(names[i - 1], names[random() % i]);
	for (const auto &name : names) {
		if (name.empty())
			put_config();
		for (auto *db : databases) {
			if (db->id == name)
				register_db(db);
		}
	}
}

// Starts the restoration that was planned to follow this event.
void FakePlatform::restore_after(const std::string &event)
{
	if (armed.event != event)
		return;
	Restoration r = armed;
	armed = Restoration();
	restore(r);
}
