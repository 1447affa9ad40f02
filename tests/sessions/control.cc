#include <cstdlib>

#include "fake_platform.h"
#include "http_request.h"

// Control of the fake platform:
//	/control?do=ACTION[&db=ID][&n=NUMBER][&key=KEY]
// injects a fault or changes the configuration; the reply holds the counters.
// "exchange_key" writes a configuration with other contents under the version
// of the newest one. "silence_open" makes n in 100 open connections to the
// store silent for good, while new ones work; "listed_ms" and "claimed_ms" tell
// when the newest departure of a primary was first listed and claimed for.
// "evacuate" and "return" write and delete the evacuation of the failure domain
// "zone". "cold" makes a database cold for n ms, which its entry tells, and
// "cold_per_s" configures the limit; "peak_reset" starts the count of
// "peak_ID" again, the most statements that a database got in one second.
// "foreign" writes an entry of another writer: its kind, its name and spec as
// they stand in the text of a list, or a spec nested n times.
// "sync" configures syncReplicas n; "lapse" removes or restores the entry of a
// database that goes on.
// "add_service" adds the service "of"; "lead" lets the route "of" lead to
// "service".
// "homes" binds the route or team "of" to "region", or to none. The reply
// to "writes" lists how often each write was executed, as "ran ID NUMBER", and
// the log of the primary, as "log ITEM DATA", instead.

void FakePlatform::on_control(evhttp_request *req, void *ctx)
{
	static_cast<FakePlatform *>(ctx)->control(req);
}

void FakePlatform::control(evhttp_request *req)
{
	std::string what = request_query(req, "do");
	int n = atoi(request_query(req, "n").c_str());
	bool known =
		control_database(req, what, n) || control_store(req, what, n);
	if (what == "withdraw") {
		keys.erase(request_query(req, "key"));
		write_config();
	} else if (what == "add_key") {
		keys.insert(request_query(req, "key"));
		write_config();
	} else if (what == "exchange_key") {
		keys.erase(request_query(req, "old"));
		keys.insert(request_query(req, "key"));
		config_version--;
		write_config();
	} else if (what == "evacuate" || what == "return") {
		set_evacuated(request_query(req, "zone"), what == "evacuate");
	} else if (what == "rate") {
		rate = (uint32_t)n;
		write_config();
	} else if (what == "sync") {
		sync_replicas = n;
		write_config();
	} else if (what == "cold_per_s") {
		cold_per_s = (uint32_t)n;
		write_config();
	} else if (what == "homes") {
		set_homes(request_query(req, "of"),
			  request_query(req, "region"));
	} else if (what == "add_service") {
		add_service(request_query(req, "of"), 2);
		for (auto *db : databases)
			register_db(db);
		write_config();
	} else if (what == "lead") {
		leads[request_query(req, "of")] = request_query(req, "service");
		write_config();
	} else if (what == "no_fence") {
		checks_token = n == 0;
	} else if (what == "relay_peers") {
		relay_peers = n != 0;
	} else if (what == "effect_ms") {
		effect_ms = n;
	} else if (what == "writes") {
		request_reply(req, 200, writes());
		return;
	} else if (!known && what != "count") {
		request_reply(req, 400, "unknown action " + what + "\n");
		return;
	}
	request_reply(req, 200, counters());
}

// Faults of a database. Returns false if the action is none of these.
bool FakePlatform::control_database(evhttp_request *req,
				    const std::string &what, int n)
{
	std::string id = request_query(req, "db");
	Database *db = id == "primary" ? newest_primary() : nullptr;
	for (auto *d : databases) {
		if (d->id == id)
			db = d;
	}
	if (!db)
		db = databases[0];
	if (what == "stop") {
		db->running = false;
		db->close_all();
		register_db(db);
	} else if (what == "start") {
		db->running = true;
		db->born++;
		db->primary = false;
		register_db(db);
	} else if (what == "depart" || what == "stay") {
		db->departing = what == "depart";
		register_db(db);
		note_departure(db);
	} else if (what == "cold") {
		db->cold_until = now_ms() + n;
		check_in_while_cold(db);
	} else if (what == "peak_reset") {
		db->last_arrivals.clear();
		db->peak_per_s = 0;
	} else if (what == "lose_replies") {
		db->lose_replies = n;
	} else if (what == "busy") {
		db->refuse_busy = n;
	} else if (what == "lag") {
		db->lag_ms = n;
	} else if (what == "cut_off") {
		db->cut_off = n != 0;
		if (Database *leader = newest_primary())
			replicate(leader);
	} else if (what == "mute") {
		db->mute = n != 0;
		db->close_all();
	} else if (what == "mute_open") {
		db->mute = true;
	} else if (what == "lapse") {
		db->lapsed = n != 0;
		register_db(db);
	} else if (what == "reset") {
		db->close_all();
	} else if (what == "unreachable") {
		set_unreachable(db, n != 0);
	} else {
		return false;
	}
	return true;
}

// Faults of the store. Returns false if the action is none of these.
bool FakePlatform::control_store(evhttp_request *req, const std::string &what,
				 int n)
{
	if (what == "store_down") {
		store_down = n != 0;
	} else if (what == "store_lose_replies") {
		store_lose_replies = n;
	} else if (what == "drop_history") {
		history_from = ++revision;
	} else if (what == "turn_away") {
		set_turn_away(static_cast<TurnAway>(n));
	} else if (what == "silence_open") {
		silence_store_connections(n);
	} else if (what == "silence_databases") {
		silence_database_connections(n);
	} else if (what == "late_claim") {
		late_claim_ms = n;
		late_claim_code = 0;
	} else if (what == "watches_deaf") {
		set_watches_deaf(n != 0);
	} else if (what == "era") {
		era = (uint64_t)n;
		tells_era = n != 0;
	} else if (what == "old_replies") {
		old_replies_next = n;
	} else if (what == "foreign") {
		write_foreign(request_query(req, "kind"),
			      request_query(req, "name"),
			      request_query(req, "spec"), n);
	} else if (what == "restore" || what == "restore_at") {
		Restoration r;
		r.event = request_query(req, "event");
		r.age = atoll(request_query(req, "age").c_str());
		r.down = atoi(request_query(req, "down").c_str());
		r.rewrite = atoi(request_query(req, "rewrite").c_str());
		if (what == "restore_at")
			armed = r;
		else
			restore(r);
	} else {
		return false;
	}
	return true;
}

// Writes an object as another writer may, without any check.
void FakePlatform::write_foreign(const std::string &kind,
				 const std::string &name,
				 const std::string &spec, int depth)
{
	kinds[kind][name].spec = depth ? std::string((size_t)depth, '[') +
						 std::string((size_t)depth, ']')
				       : spec;
	notify_watches(kind, name);
}

// Lists the writes that were executed, and those in the log of the primary.
std::string FakePlatform::writes() const
{
	const Database *primary = newest_primary();
	std::string out;
	for (const auto &w : write_counts)
		out += "ran " + w.first + " " + std::to_string(w.second) + "\n";
	if (!primary)
		return out;
	for (const auto &e : primary->log)
		out += "log " + e.item + " " + e.data + "\n";
	return out;
}

std::string FakePlatform::counters() const
{
	int n_twice = 0;
	for (const auto &w : write_counts)
		n_twice += w.second > 1;
	const Database *primary = newest_primary();
	std::string out;
	auto add = [&out](const char *name, uint64_t n) {
		out += std::string(name) + " " + std::to_string(n) + "\n";
	};
	add("runs", statements_run);
	add("twice", (uint64_t)n_twice);
	out += "primary " + (primary ? primary->id : "") + "\n";
	add("term", databases[0]->term);
	add("repeated", n_repeated);
	add("fell", n_fell);
	add("promotions", promotions.size());
	add("effects", n_effects);
	add("token", last_token);
	add("era", era);
	add("revision", revision);
	add("restored", n_restored);
	add("away", away);
	add("to_write_again",
	    waiting_databases.size() + config_waits + evacuations_wait);
	add("evacuations",
	    kinds.count("evacuations") ? kinds.at("evacuations").size() : 0);
	add("evacuation_calls", n_evacuation_calls);
	for (const auto *db : databases) {
		add(("arrived_" + db->id).c_str(), db->n_arrived);
		add(("running_" + db->id).c_str(), db->running);
		add(("peak_" + db->id).c_str(), db->peak_per_s);
		add(("idle_ms_" + db->id).c_str(),
		    (uint64_t)(now_ms() - db->arrived_at));
	}
	add("old_commits", old_commits);
	add("config", config_version - 1);
	add("silenced", n_silenced);
	add("claims", n_claims);
	add("late_claim", (uint64_t)late_claim_code);
	add("store_calls", n_store_calls);
	if (listed_at)
		add("listed_ms", (uint64_t)(listed_at - departed_at));
	if (claimed_at)
		add("claimed_ms", (uint64_t)(claimed_at - departed_at));
	return out;
}
