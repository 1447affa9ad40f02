#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "fake_platform.h"

namespace
{
const char *const kObjects = "/gypsumcleat/objects/";

std::string body(evhttp_request *req)
{
	evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	return std::string((const char *)evbuffer_pullup(in, -1), len);
}

void reply(evhttp_request *req, int code, const std::string &text)
{
	evbuffer_add(evhttp_request_get_output_buffer(req), text.data(),
		     text.size());
	evhttp_send_reply(req, code, "", nullptr);
}

std::string query(evhttp_request *req, const char *key)
{
	struct evkeyvalq q;
	evhttp_parse_query_str(
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &q);
	const char *v = evhttp_find_header(&q, key);
	std::string out = v ? v : "";
	evhttp_clear_headers(&q);
	return out;
}
} // namespace

FakePlatform::FakePlatform()
{
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_bound_socket *s =
		evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	sockaddr_in at = {};
	socklen_t len = sizeof(at);
	getsockname(evhttp_bound_socket_get_fd(s), (sockaddr *)&at, &len);
	http_port = ntohs(at.sin_port);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_PUT);
	evhttp_set_cb(http, "/promote", on_promote, this);
	evhttp_set_cb(http, "/control", on_control, this);
	evhttp_set_gencb(http, on_store, this);
	for (int i = 1; i <= 3; i++)
		databases.push_back(
			new Database(this, "db-" + std::to_string(i), i == 1));
	write_config();
	for (auto *db : databases)
		register_db(db);
}

FakePlatform::~FakePlatform()
{
	evhttp_free(http);
	event_base_free(base);
}

void FakePlatform::run()
{
	printf("ready 127.0.0.1:%d\n", http_port);
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
	auto &o = kinds["servers"];
	if (!db->running) {
		if (o.erase(db->id))
			notify_watches("servers", db->id);
		return;
	}
	char spec[512];
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"z-%s\",\"version\":\"v1\",\"slots\":5,"
		 "\"state\":\"%s\",\"coldLeftMs\":0,\"dbRole\":\"%s\","
		 "\"sequence\":%llu,\"born\":%llu}",
		 service.c_str(), db->port, db->id.c_str() + 3,
		 db->departing ? "draining" : "ready",
		 db->primary ? "primary" : "replica",
		 (unsigned long long)++db->sequence,
		 (unsigned long long)db->born);
	o[db->id].spec = spec;
	notify_watches("servers", db->id);
}

// Writes the configuration with the current keys and rate.
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
			   service +
			   "\",\"maxStalenessMs\":1500,\"public\":false}");
	}
	kinds["config"]["main"].spec =
		"{\"version\":" + std::to_string(config_version++) +
		",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" +
		service +
		"\",\"maxConns\":40,\"syncReplicas\":0}],"
		"\"limits\":{\"txIdleMs\":1000},\"tenants\":[{\"name\":"
		"\"team\",\"apiKeys\":[" +
		list + "],\"ratePerS\":" + std::to_string(rate) +
		",\"burst\":" + std::to_string(rate) + "}]}";
	notify_watches("config", "main");
}

// Copies the primary's log to the replicas that are running, connected to it
// and not paused for a later term. They apply it after their lag.
void FakePlatform::replicate(Database *from)
{
	if (!from->primary)
		return;
	for (auto *to : databases) {
		if (to == from || !to->running || to->cut_off ||
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

std::string FakePlatform::object(const std::string &name, const Object &o) const
{
	return "{\"meta\":{\"name\":\"" + name +
	       "\",\"revision\":" + std::to_string(o.revision) +
	       ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
	       "\"spec\":" +
	       o.spec + ",\"status\":null}";
}

void FakePlatform::on_store(evhttp_request *req, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->store(req);
}

void FakePlatform::store(evhttp_request *req)
{
	std::string path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	if (store_down) {
		reply(req, 503, "");
		return;
	}
	if (path.rfind(kObjects, 0) != 0) {
		reply(req, 404, "");
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
			reply(req, 404, "{}");
		else
			reply(req, 200, object(name, o->second));
		return;
	}
	std::string from = query(req, "watch");
	if (from.empty())
		list(req, kind);
	else
		watch(req, kind, strtoull(from.c_str(), nullptr, 10),
		      atoi(query(req, "waitMs").c_str()));
}

// Replies with one page of a list. A page holds two objects, so that a longer
// list takes several requests.
void FakePlatform::list(evhttp_request *req, const std::string &kind)
{
	std::string from = query(req, "after");
	std::string items;
	bool more = false;
	int n = 0;
	for (const auto &o : kinds[kind]) {
		if (o.first <= from && !from.empty())
			continue;
		if (n++ == 2) {
			more = true;
			break;
		}
		items += (items.empty() ? "" : ",") + object(o.first, o.second);
	}
	reply(req, 200,
	      "{\"items\":[" + items +
		      "],\"more\":" + (more ? "true" : "false") +
		      ",\"currentRev\":" + std::to_string(revision) + "}");
}

void FakePlatform::watch(evhttp_request *req, const std::string &kind,
			 uint64_t from, int wait_ms)
{
	if (from < history_from) {
		reply(req, 410,
		      "{\"currentRev\":" + std::to_string(revision) + "}");
		return;
	}
	std::string events;
	for (const auto &o : kinds[kind]) {
		if (o.second.revision > from)
			events += (events.empty() ? "" : ",") +
				  ("{\"deleted\":false,\"object\":" +
				   object(o.first, o.second) + "}");
	}
	if (!events.empty()) {
		reply(req, 200,
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
			reply(req, 200,
			      "{\"events\":[],\"currentRev\":" +
				      std::to_string(revision) + "}");
			return;
		}
	});
}

void FakePlatform::put(evhttp_request *req, const std::string &kind,
		       const std::string &path_name, bool create)
{
	std::string text = body(req);
	json_t *o = json_loads(text.c_str(), 0, nullptr);
	json_t *meta = json_object_get(o, "meta");
	const char *named = json_string_value(json_object_get(meta, "name"));
	std::string name = create && named ? named : path_name;
	auto wanted =
		(uint64_t)json_integer_value(json_object_get(meta, "revision"));
	auto found = kinds[kind].find(name);
	bool there = found != kinds[kind].end();
	if (create == there || (there && wanted != found->second.revision)) {
		reply(req, there ? 409 : 404,
		      there ? object(name, found->second) : "{}");
		json_decref(o);
		return;
	}
	char *spec = json_dumps(json_object_get(o, "spec"), JSON_COMPACT);
	kinds[kind][name].spec = spec;
	free(spec);
	json_decref(o);
	notify_watches(kind, name);
	if (store_lose_replies > 0) {
		store_lose_replies--;
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	reply(req, 200, object(name, kinds[kind][name]));
}

// Assigns a new revision and notifies the watches of the kind.
void FakePlatform::notify_watches(const std::string &kind,
				  const std::string &name)
{
	auto o = kinds[kind].find(name);
	revision++;
	if (o != kinds[kind].end())
		o->second.revision = revision;
	for (size_t i = 0; i < watches.size();) {
		if (watches[i].kind != kind || o == kinds[kind].end()) {
			i++;
			continue;
		}
		evhttp_request *req = watches[i].req;
		watches.erase(watches.begin() + (long)i);
		reply(req, 200,
		      "{\"events\":[{\"deleted\":false,\"object\":" +
			      object(name, o->second) + "}],\"currentRev\":" +
			      std::to_string(revision) + "}");
	}
}

void FakePlatform::on_promote(evhttp_request *req, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->promote(req);
}

// Promotes the named database in the next term; the others become replicas.
void FakePlatform::promote(evhttp_request *req)
{
	const evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *token = evhttp_find_header(h, "Gypsumcleat-Fencing-Token");
	uint64_t number = token ? strtoull(token, nullptr, 10) : 0;
	json_t *o = json_loads(body(req).c_str(), 0, nullptr);
	const char *id = json_string_value(json_object_get(o, "id"));
	Database *to = nullptr;
	uint64_t term = 0;
	for (auto *db : databases) {
		if (id && db->id == id && db->running)
			to = db;
		if (db->running && db->term > term)
			term = db->term;
	}
	json_decref(o);
	if (!to || number == 0 || number < last_token) {
		printf("promotion refused token %llu last %llu\n",
		       (unsigned long long)number,
		       (unsigned long long)last_token);
		fflush(stdout);
		reply(req, 409, "{}");
		return;
	}
	last_token = number;
	reply(req, 200, "{}");
	if (to->primary)
		return;
	run_after(20, [this, to, term] {
		to->term = term + 1;
		to->primary = true;
		to->paused_term = 0;
		to->applied = to->log.size();
		for (auto *db : databases) {
			if (db != to && db->running)
				db->primary = false;
		}
		replicate(to);
		for (auto *db : databases)
			register_db(db);
	});
}

void FakePlatform::on_control(evhttp_request *req, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->control(req);
}

// /control?do=ACTION[&db=ID][&n=NUMBER][&key=KEY] injects a fault or changes
// the configuration; the reply holds the counters.
void FakePlatform::control(evhttp_request *req)
{
	std::string what = query(req, "do");
	std::string id = query(req, "db");
	int n = atoi(query(req, "n").c_str());
	Database *db = databases[0];
	for (auto *d : databases) {
		if (d->id == id || (id == "primary" && d->primary))
			db = d;
	}
	if (what == "stop") {
		db->running = false;
		db->close_all();
		register_db(db);
	} else if (what == "start") {
		db->running = true;
		db->born++;
		db->primary = false;
		register_db(db);
	} else if (what == "depart") {
		db->departing = true;
		register_db(db);
	} else if (what == "lose_replies") {
		db->lose_replies = n;
	} else if (what == "busy") {
		db->refuse_busy = n;
	} else if (what == "lag") {
		db->lag_ms = n;
	} else if (what == "cut_off") {
		db->cut_off = n != 0;
	} else if (what == "mute") {
		db->mute = n != 0;
		db->close_all();
	} else if (what == "mute_open") {
		db->mute = true;
	} else if (what == "reset") {
		db->close_all();
	} else if (what == "store_down") {
		store_down = n != 0;
	} else if (what == "store_lose_replies") {
		store_lose_replies = n;
	} else if (what == "drop_history") {
		history_from = ++revision;
	} else if (what == "withdraw") {
		keys.erase(query(req, "key"));
		write_config();
	} else if (what == "rate") {
		rate = (uint32_t)n;
		write_config();
	}
	int n_twice = 0;
	for (const auto &w : write_counts)
		n_twice += w.second > 1;
	std::string primary_id;
	for (auto *d : databases)
		primary_id += d->primary ? d->id : "";
	reply(req, 200,
	      "runs " + std::to_string(statements_run) + "\ntwice " +
		      std::to_string(n_twice) + "\nprimary " + primary_id +
		      "\nterm " + std::to_string(databases[0]->term) + "\n");
}

int main()
{
	FakePlatform platform;
	platform.run();
	return 0;
}
