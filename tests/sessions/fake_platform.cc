#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <jansson.h>

#include "fake_platform.h"
#include "http_request.h"

namespace
{
const char *const kObjects = "/gypsumcleat/objects/";
const char *const kDuties = "proxy-duties";
// Interval at which a cold database writes its entry.
const int kCheckInMs = 500;

// Returns what a write does to a promotion claim: "claim" if it makes one,
// "mark" if it marks it as promoting, else "none". The kind may be one of an
// era.
const char *duty_event(const std::string &kind, const json_t *spec)
{
	if (kind != kDuties && kind.rfind(kDuties + std::string("-"), 0) != 0)
		return "none";
	if (json_is_true(json_object_get(spec, "promotes")))
		return "mark";
	return json_is_true(json_object_get(spec, "closed")) ? "none" : "claim";
}

int local_port(evutil_socket_t fd)
{
	sockaddr_in at = {};
	socklen_t len = sizeof(at);
	getsockname(fd, (sockaddr *)&at, &len);
	return ntohs(at.sin_port);
}
} // namespace

FakePlatform::FakePlatform()
{
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	http = evhttp_new(base);
	for (int *port : { &http_port, &second_port }) {
		evhttp_bound_socket *s =
			evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
		*port = local_port(evhttp_bound_socket_get_fd(s));
	}
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_PUT);
	evhttp_set_cb(http, "/promote", on_promote, this);
	evhttp_set_cb(http, "/control", on_control, this);
	evhttp_set_gencb(http, on_store, this);
	add_service(kMainService, 3);
	write_config();
	for (auto *db : databases)
		register_db(db);
	history.end_initial_state();
}

// Adds a service with so many databases; the first one is its primary.
void FakePlatform::add_service(const std::string &name, int n)
{
	services.push_back(name);
	for (int i = 0; i < n; i++)
		databases.push_back(new Database(
			this, "db-" + std::to_string(databases.size() + 1),
			name, i == 0));
}

FakePlatform::~FakePlatform()
{
	evhttp_free(http);
	event_base_free(base);
}

void FakePlatform::run()
{
	printf("ready 127.0.0.1:%d 127.0.0.1:%d\n", http_port, second_port);
	fflush(stdout);
	event_base_dispatch(base);
}

// Runs fn once, after a delay.
void FakePlatform::run_after(int ms, std::function<void()> fn)
{
	auto *call = new std::function<void()>(std::move(fn));
	timeval tv = { ms / 1000, ms % 1000 * 1000 };
	event_base_once(
		base, -1, EV_TIMEOUT,
		[](evutil_socket_t, short, void *ctx) {
			auto *f = static_cast<std::function<void()> *>(ctx);
			(*f)();
			delete f;
		},
		call, &tv);
}

// Writes a database's entry in the registry, or removes it if the database is
// stopped.
void FakePlatform::register_db(Database *db)
{
	if (away) {
		waiting_databases.insert(db->id);
		return;
	}
	waiting_databases.erase(db->id);
	auto &o = kinds["servers"];
	if (!db->running || db->lapsed) {
		if (o.erase(db->id))
			notify_watches("servers", db->id);
		return;
	}
	char spec[512];
	int64_t cold_left = db->cold_until - now_ms();
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"z-%d\",\"version\":\"v1\",\"slots\":5,"
		 "\"state\":\"%s\",\"coldLeftMs\":%lld,\"dbRole\":\"%s\","
		 "\"sequence\":%llu,\"born\":%llu}",
		 db->service.c_str(), db->port,
		 (atoi(db->id.c_str() + 3) - 1) % 3 + 1,
		 db->departing ? "draining" : "ready",
		 (long long)(cold_left > 0 ? cold_left : 0),
		 db->primary ? "primary" : "replica",
		 (unsigned long long)++db->sequence,
		 (unsigned long long)db->born);
	o[db->id].spec = spec;
	notify_watches("servers", db->id);
}

void FakePlatform::check_in_while_cold(Database *db)
{
	register_db(db);
	if (db->cold_until > now_ms())
		run_after(kCheckInMs, [this, db] { check_in_while_cold(db); });
}

// Returns the field with the regions of a route or team; empty if it names
// none.
std::string FakePlatform::homes_field(const std::string &of) const
{
	auto found = homes.find(of);
	return found == homes.end() ? "" : ",\"homes\":" + found->second;
}

// Binds a route or the team to one region, or to none if that is empty.
void FakePlatform::set_homes(const std::string &of, const std::string &region)
{
	if (region.empty())
		homes.erase(of);
	else
		homes[of] = "[\"" + region + "\"]";
	write_config();
}

// Writes the configuration with the current keys, rates and homes.
void FakePlatform::write_config()
{
	std::string list;
	for (const auto &k : keys)
		list += (list.empty() ? "\"" : ",\"") + k + "\"";
	std::string routes;
	const char *const route_kinds[][2] = { { "p-db", "primary" },
					       { "b-db", "bounded_staleness" },
					       { "o-db", "read_your_writes" } };
	for (const auto &k : route_kinds) {
		routes += (routes.empty() ? "" : ",") +
			  ("{\"name\":\"" + std::string(k[0]) +
			   "\",\"host\":\"" + k[0] + "\",\"kind\":\"" + k[1] +
			   "\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
			   "\"priority\":1,\"service\":\"" +
			   (leads.count(k[0]) ? leads.at(k[0]) : kMainService) +
			   "\",\"maxStalenessMs\":1500,\"public\":false" +
			   homes_field(k[0]) + "}");
	}
	std::string list_of_services;
	for (const auto &s : services)
		list_of_services +=
			(list_of_services.empty() ? "" : ",") +
			("{\"name\":\"" + s +
			 "\",\"maxConns\":40,\"syncReplicas\":" +
			 std::to_string(sync_replicas) +
			 ",\"coldPerS\":" + std::to_string(cold_per_s) + "}");
	config_spec = "{\"version\":" + std::to_string(config_version++) +
		      ",\"routes\":[" + routes + "],\"services\":[" +
		      list_of_services +
		      "],"
		      "\"limits\":{\"txIdleMs\":1000},\"tenants\":[{\"name\":"
		      "\"team\",\"apiKeys\":[" +
		      list + "],\"ratePerS\":" + std::to_string(rate) +
		      ",\"burst\":" + std::to_string(rate) +
		      homes_field("team") + "}]}";
	put_config();
}

// Writes the operator's newest configuration, or keeps it until the store is
// back.
void FakePlatform::put_config()
{
	config_waits = away;
	if (away)
		return;
	kinds["config"]["main"].spec = config_spec;
	notify_watches("config", "main");
}

// Evacuates a failure domain, or withdraws that.
void FakePlatform::set_evacuated(const std::string &zone, bool is_evacuated)
{
	if (is_evacuated)
		evacuated.insert(zone);
	else
		evacuated.erase(zone);
	put_evacuations();
}

// Writes and deletes the operator's evacuations where the store has others, or
// keeps that until the store is back.
void FakePlatform::put_evacuations()
{
	evacuations_wait = away;
	if (away)
		return;
	auto &o = kinds["evacuations"];
	std::set<std::string> names = evacuated;
	for (const auto &e : o)
		names.insert(e.first);
	for (const auto &name : names) {
		bool is_there = o.count(name) != 0;
		if (is_there == (evacuated.count(name) != 0))
			continue;
		if (is_there)
			o.erase(name);
		else
			o[name].spec = "{}";
		notify_watches("evacuations", name);
	}
}

// Copies the primary's log to the replicas that are running, connected to it
// and not paused for a later term. They apply it after their lag.
void FakePlatform::replicate(Database *from)
{
	if (!from->primary)
		return;
	for (auto *to : databases) {
		if (to == from || to->service != from->service ||
		    !to->running || to->cut_off || to->unreachable ||
		    from->unreachable || to->term > from->term ||
		    to->paused_term > from->term)
			continue;
		to->term = from->term;
		size_t same = 0;
		while (same < to->log.size() && same < from->log.size() &&
		       !(to->log[same].at < from->log[same].at) &&
		       !(from->log[same].at < to->log[same].at))
			same++;
		to->log.resize(same);
		if (to->applied > same)
			to->applied = same;
		to->log.insert(to->log.end(), from->log.begin() + same,
			       from->log.end());
		size_t upto = to->log.size();
		run_after(to->lag_ms, [to, upto] {
			if (upto <= to->log.size() && upto > to->applied)
				to->applied = upto;
		});
	}
}

bool FakePlatform::is_replicated(const Database *from) const
{
	int received = 0;
	for (const auto *to : databases)
		received += to != from && to->service == from->service &&
			    to->running && to->term == from->term &&
			    to->log.size() == from->log.size();
	return received >= sync_replicas;
}

std::string FakePlatform::object(const std::string &name, const Object &o) const
{
	return "{\"meta\":{\"name\":\"" + name +
	       "\",\"revision\":" + std::to_string(o.revision) +
	       ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
	       "\"spec\":" +
	       o.spec + ",\"status\":null}";
}

// Replies to a call to the store, with its era.
void FakePlatform::store_reply(evhttp_request *req, int code,
			       const std::string &text)
{
	if (tells_era)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Store-Era", std::to_string(era).c_str());
	request_reply(req, code, text);
}

void FakePlatform::on_store(evhttp_request *req, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->store(req);
}

void FakePlatform::store(evhttp_request *req)
{
	std::string path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	keep_store_connection(req);
	n_store_calls++;
	if (path.rfind(std::string(kObjects) + "evacuations", 0) == 0)
		n_evacuation_calls++;
	if (away) {
		refuse_while_away(req);
		return;
	}
	if (is_turned_away(req))
		return;
	if (store_down) {
		store_reply(req, 503, "");
		return;
	}
	if (path.rfind(kObjects, 0) != 0) {
		store_reply(req, 404, "");
		return;
	}
	path = path.substr(strlen(kObjects));
	std::string kind = path.substr(0, path.find('/'));
	std::string name = path.find('/') == std::string::npos
				   ? ""
				   : path.substr(path.find('/') + 1);
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_POST:
		put(req, kind, name, true);
		return;
	case EVHTTP_REQ_PUT:
		put(req, kind, name, false);
		return;
	default:
		break;
	}
	if (!name.empty()) {
		auto o = kinds[kind].find(name);
		if (o == kinds[kind].end())
			store_reply(req, 404, "{}");
		else
			store_reply(req, 200, object(name, o->second));
		return;
	}
	std::string from = request_query(req, "watch");
	if (from.empty())
		list(req, kind);
	else
		watch(req, kind, strtoull(from.c_str(), nullptr, 10),
		      atoi(request_query(req, "waitMs").c_str()));
}

// Watches that are held at the second port end in the same way.
void FakePlatform::set_turn_away(TurnAway how)
{
	std::vector<Watch> held;
	held.swap(watches);
	turn_away = how;
	for (const auto &w : held) {
		if (!is_turned_away(w.req))
			watches.push_back(w);
	}
}

// Turns away a call to the second port, if it is to be.
bool FakePlatform::is_turned_away(evhttp_request *req)
{
	evhttp_connection *c = evhttp_request_get_connection(req);
	bufferevent *b = evhttp_connection_get_bufferevent(c);
	if (turn_away == TurnAway::no ||
	    local_port(bufferevent_getfd(b)) != second_port)
		return false;
	if (turn_away == TurnAway::busy)
		store_reply(req, random() % 2 ? 503 : 429, "");
	else if (turn_away == TurnAway::reset)
		evhttp_connection_free(c);
	return true;
}

// Once watches hear again, those held until then stay silent, and the history
// is gone.
void FakePlatform::set_watches_deaf(bool deaf)
{
	if (watches_deaf && !deaf) {
		watches.clear();
		history_from = ++revision;
	}
	watches_deaf = deaf;
}

// Replies with one page of a list. A page holds two objects, so that a longer
// list takes several requests. After a restoration the reply may be one of the
// store before it.
void FakePlatform::list(evhttp_request *req, const std::string &kind)
{
	std::string from = request_query(req, "after");
	std::string items;
	bool more = false;
	int n = 0;
	note_list(kind);
	bool is_old = old_replies > 0;
	for (const auto &o : is_old ? old_kinds[kind] : kinds[kind]) {
		if (o.first <= from && !from.empty())
			continue;
		if (n++ == 2) {
			more = true;
			break;
		}
		items += (items.empty() ? "" : ",") + object(o.first, o.second);
	}
	std::string text =
		"{\"items\":[" + items +
		"],\"more\":" + (more ? "true" : "false") + ",\"currentRev\":" +
		std::to_string(is_old ? old_revision : revision) + "}";
	if (!is_old) {
		store_reply(req, 200, text);
		return;
	}
	old_replies--;
	if (tells_era)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Store-Era", std::to_string(old_era).c_str());
	request_reply(req, 200, text);
}

void FakePlatform::watch(evhttp_request *req, const std::string &kind,
			 uint64_t from, int wait_ms)
{
	if (from < history_from || from > revision) {
		store_reply(req, 410,
			    "{\"currentRev\":" + std::to_string(revision) +
				    "}");
		return;
	}
	std::string events;
	for (const auto &o : kinds[kind]) {
		if (o.second.revision > from && !watches_deaf)
			events += (events.empty() ? "" : ",") +
				  ("{\"deleted\":false,\"object\":" +
				   object(o.first, o.second) + "}");
	}
	for (const auto &o : deleted[kind]) {
		if (o.second.revision > from && !watches_deaf)
			events += (events.empty() ? "" : ",") +
				  ("{\"deleted\":true,\"object\":" +
				   object(o.first, o.second) + "}");
	}
	if (!events.empty()) {
		store_reply(req, 200,
			    "{\"events\":[" + events + "],\"currentRev\":" +
				    std::to_string(revision) + "}");
		return;
	}
	watches.push_back({ req, kind, from });
	run_after(wait_ms, [this, req] {
		for (size_t i = 0; i < watches.size(); i++) {
			if (watches[i].req != req)
				continue;
			watches.erase(watches.begin() + (long)i);
			store_reply(req, 200,
				    "{\"events\":[],\"currentRev\":" +
					    std::to_string(revision) + "}");
			return;
		}
	});
}

// Replaces the host of the peer's address in the entry of a VM.
void FakePlatform::relay_peer(std::string *spec)
{
	const std::string direct = "\"peer\":\"127.0.0.1:";
	size_t at = spec->find(direct);
	if (at != std::string::npos)
		spec->replace(at, direct.size(), "\"peer\":\"127.0.0.2:");
}

// Handles a write. One of a promotion claim may be held: its connection is
// silent from then on, and the write is executed later.
void FakePlatform::put(evhttp_request *req, const std::string &kind,
		       const std::string &path_name, bool create)
{
	std::string text = request_body(req);
	if (late_claim_ms && kind.rfind(kDuties, 0) == 0) {
		evhttp_connection *c = evhttp_request_get_connection(req);
		run_after(late_claim_ms, [this, kind, path_name, create, text] {
			std::string reply;
			late_claim_code =
				write(kind, path_name, create, text, &reply);
		});
		late_claim_ms = 0;
		drop_input(evhttp_connection_get_bufferevent(c));
		store_connections.erase(c);
		return;
	}
	std::string reply;
	int code = write(kind, path_name, create, text, &reply);
	if (code == 200 && store_lose_replies > 0) {
		store_lose_replies--;
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	store_reply(req, code, reply);
}

// Executes a write if its condition holds. Returns the status of the reply and
// sets its text.
int FakePlatform::write(const std::string &kind, const std::string &path_name,
			bool create, const std::string &text,
			std::string *reply)
{
	json_t *o = json_loads(text.c_str(), 0, nullptr);
	json_t *meta = json_object_get(o, "meta");
	const char *named = json_string_value(json_object_get(meta, "name"));
	std::string name = create && named ? named : path_name;
	auto wanted =
		(uint64_t)json_integer_value(json_object_get(meta, "revision"));
	auto found = kinds[kind].find(name);
	bool there = found != kinds[kind].end();
	if (create == there || (there && wanted != found->second.revision)) {
		*reply = there ? object(name, found->second) : "{}";
		json_decref(o);
		return there ? 409 : 404;
	}
	char *spec = json_dumps(json_object_get(o, "spec"), JSON_COMPACT);
	kinds[kind][name].spec = spec;
	free(spec);
	if (relay_peers)
		relay_peer(&kinds[kind][name].spec);
	const char *event = duty_event(kind, json_object_get(o, "spec"));
	json_decref(o);
	if (strcmp(event, "claim") == 0)
		note_claim();
	notify_watches(kind, name);
	*reply = object(name, kinds[kind][name]);
	restore_after(event);
	return 200;
}

// Assigns a new revision and notifies the watches of the kind.
void FakePlatform::notify_watches(const std::string &kind,
				  const std::string &name)
{
	auto found = kinds[kind].find(name);
	bool is_deleted = found == kinds[kind].end();
	revision++;
	Object changed = { "{}", revision };
	if (is_deleted) {
		deleted[kind][name] = changed;
		history.deleted(now_ms(), kind, name, revision);
	} else {
		deleted[kind].erase(name);
		found->second.revision = revision;
		changed = found->second;
		history.written(now_ms(), kind, name, changed);
	}
	for (size_t i = 0; i < watches.size();) {
		if (watches[i].kind != kind || watches_deaf) {
			i++;
			continue;
		}
		evhttp_request *req = watches[i].req;
		watches.erase(watches.begin() + (long)i);
		store_reply(req, 200,
			    std::string("{\"events\":[{\"deleted\":") +
				    (is_deleted ? "true" : "false") +
				    ",\"object\":" + object(name, changed) +
				    "}],\"currentRev\":" +
				    std::to_string(revision) + "}");
	}
}

int main()
{
	FakePlatform platform;
	platform.run();
	return 0;
}
