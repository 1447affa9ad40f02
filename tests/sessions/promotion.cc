#include <algorithm>
#include <cstdlib>
#include <jansson.h>

#include "fake_platform.h"
#include "http_request.h"

// The promotion call of the fake platform.

// Returns the service's primary of the newest term, or NULL.
Database *FakePlatform::newest_primary(const std::string &service) const
{
	Database *found = nullptr;
	for (auto *db : databases) {
		if (db->service == service && db->primary &&
		    (!found || db->term > found->term))
			found = db;
	}
	return found;
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
	const char *holder = evhttp_find_header(h, "Gypsumcleat-Duty-Holder");
	uint64_t number = token ? strtoull(token, nullptr, 10) : 0;
	json_t *o = json_loads(request_body(req).c_str(), 0, nullptr);
	const char *id = json_string_value(json_object_get(o, "id"));
	Database *to = nullptr;
	for (auto *db : databases) {
		if (id && db->id == id && db->running && !db->unreachable)
			to = db;
	}
	json_decref(o);
	if (!to || (checks_token && (number == 0 || number < last_token))) {
		printf("promotion refused token %llu last %llu\n",
		       (unsigned long long)number,
		       (unsigned long long)last_token);
		fflush(stdout);
		request_reply(req, 409, "{}");
		return;
	}
	record_promotion(number, holder ? holder : "", to->id);
	request_reply(req, 200, "{}");
	if (to != newest_primary())
		run_after(effect_ms,
			  [this, to] { promotion_takes_effect(to); });
	restore_after("promote");
}

// Counts an accepted promotion, and the ways in which its token is wrong.
void FakePlatform::record_promotion(uint64_t token, const std::string &holder,
				    const std::string &id)
{
	bool repeated = false;
	for (const auto &p : promotions)
		repeated |= p.token == token && p.holder != holder;
	n_repeated += repeated;
	n_fell += token < last_token;
	promotions.push_back({ token, holder });
	last_token = std::max(last_token, token);
	printf("promotion accepted token %llu holder %s database %s%s\n",
	       (unsigned long long)token, holder.c_str(), id.c_str(),
	       repeated ? " repeated" : "");
	fflush(stdout);
}

// The database leads the next term, and pauses end. A database that can't be
// reached goes on as it was.
void FakePlatform::promotion_takes_effect(Database *to)
{
	uint64_t term = 0;
	if (!to->running || to == newest_primary())
		return;
	for (auto *db : databases) {
		if (db->service == to->service)
			term = std::max(term, db->term);
	}
	to->term = term + 1;
	to->primary = true;
	to->paused_term = 0;
	to->applied = to->log.size();
	for (auto *db : databases) {
		if (db == to || db->service != to->service || !db->running ||
		    db->unreachable)
			continue;
		db->primary = false;
		db->paused_term = 0;
	}
	replicate(to);
	for (auto *db : databases)
		register_db(db);
	n_effects++;
	restore_after("effect");
}

// Cuts a database off from the platform and the other databases, or ends that.
// It then hears of a promotion that it missed.
void FakePlatform::set_unreachable(Database *db, bool unreachable)
{
	db->unreachable = unreachable;
	Database *newest = newest_primary();
	if (unreachable || !newest)
		return;
	if (newest != db && db->primary) {
		db->primary = false;
		register_db(db);
	}
	replicate(newest);
}
