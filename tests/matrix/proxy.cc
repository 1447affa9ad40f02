#include "proxy.h"

#include <cstring>

namespace
{
constexpr usec_t kTick = 2000;
constexpr usec_t kCall = 60000;
constexpr usec_t kDeadline = 700000;
constexpr const char *kTeam = "haneul";
constexpr const char *kService = "quotes";
constexpr struct promote_policy kPromote = {
	.suspect_us = 150000,
	.stagger_us = 60000,
	.opinion_us = 8000,
	.retry_us = 15000,
	.phase_us = 150000,
	.backoff_us = 30000,
	.pause_us = 100000,
	.unfollowed_us = 300000,
	.replica_fresh_us = 120000,
	.reserving_ranks = 2,
	.clock_rate_ppm = 1000,
	.handover = { .settle_us = 4000,
		      .hold_max_us = 150000,
		      .retry_min_us = 200000,
		      .retry_max_us = 800000 },
};
constexpr struct route_policy kRoute = {
	.view_max_age_us = 200000,
	.wait_max_us = 6000,
	.wait_step_us = 2000,
	.guard_us = 120000,
	.departing_us = 2000000,
	.clock_rate_ppm = 1000,
};
constexpr struct write_quorum_policy kConfirm = { 120000, 1000 };
constexpr struct retry_policy kRetry = { 200, 100, 2000, 30000, 20 };
constexpr struct health_probe_policy kProbe = { 2000,	15000, 30000,
						100000, 40000, 60000 };

struct session_token_keys secret()
{
	struct session_token_keys k = {};
	memset(k.current, 7, sizeof(k.current));
	return k;
}
} // namespace

Proxy::Proxy(Simulation &simulation, int index)
    : sim(simulation), self(kFirstVm + index)
{
	view.term = 1;
	view.n = kDbs;
	for (auto &d : view.db)
		d.slots = 8;
	promote_init(&promoter, &kPromote, sim.now);
	promoter.published = 1;
	retry_budget_init(&budget, &kRetry);
}

void Proxy::start(std::vector<Proxy *> others)
{
	peers = std::move(others);
	sim.after(0, self, [this] { tick(); });
}

// Returns the status report of database i at this moment.
struct db_view Proxy::report(int i) const
{
	const Database &d = sim.db[i];
	struct db_view v = {};
	v.fence_term = d.fence;
	v.end = d.end();
	v.lineage = d.lineage;
	v.role = d.primary_of ? ROLE_PRIMARY : ROLE_REPLICA;
	v.stamp_term = d.primary_of ? d.primary_of : d.stamp_term;
	v.stamp_us = d.primary_of ? sim.now : d.stamp;
	return v;
}

// Stores a report in the view unless a later probe was already answered.
void Proxy::record_report(int i, const struct db_view &report, usec_t sent_at)
{
	struct db_view &v = view.db[i];
	if (v.known && sent_at < v.requested_at)
		return;
	struct db_view old = v;
	v = report;
	v.known = true;
	v.requested_at = sent_at;
	v.responded_at = sim.now;
	v.state = old.state;
	v.departing_at = old.departing_at;
	v.slots = old.slots;
	health_probe_answered(&probes[i], sent_at);
}

struct promote_env Proxy::env()
{
	struct promote_env e = {};
	for (auto &d : view.db) {
		d.state = DB_LIVE;
		d.departing_at = 0;
	}
	if (sim.departing) {
		view.db[0].state = DB_DEPARTING;
		view.db[0].departing_at = sim.now;
	}
	e.now = sim.now;
	e.view = &view;
	e.rank = (uint32_t)(self - kFirstVm);
	e.running_writes = running();
	e.unanswered_at =
		view.primary < kDbs ? probes[view.primary].unanswered_at : 0;
	e.other_domains = true;
	e.platform_up = true;
	e.random = sim.rng();
	return e;
}

uint32_t Proxy::running() const
{
	uint32_t n = 0;
	for (const auto &k : pending)
		n += !k->waiting && !k->is_answered &&
		     k->request.kind != IDEM_READ;
	return n;
}

void Proxy::tick()
{
	struct promote_actions out = {};
	struct promote_env e = env();
	uint32_t confirms = 0;
	promote_tick(&promoter, &e, &out);
	perform(out);
	auto list = pending;
	for (const auto &k : list) {
		if (k->is_answered)
			continue;
		if (k->confirming)
			check_confirm(k);
		confirms += k->confirming;
		if (k->waiting && sim.now >= k->retry_at)
			advance(k);
	}
	std::erase_if(pending,
		      [](const pending_ref &k) { return k->is_answered; });
	probe_all(confirms);
	sim.after(kTick, self, [this] { tick(); });
}

void Proxy::probe_all(uint32_t confirms)
{
	struct health_probe_demand need = { confirms,
					    promoter.phase != PROMOTE_IDLE,
					    last_used_at };
	for (int i = 0; i < kDbs; i++) {
		enum step step = confirms ? STEP_CONFIRM : STEP_PROBE;
		if (promoter.phase == PROMOTE_HANDOVER)
			step = STEP_HANDOVER_CATCH_UP;
		if (health_probe_expire(&probes[i], &kProbe, sim.now))
			sim.close(self, i);
		if (health_probe_due(&probes[i], &kProbe, &need,
				     (uint32_t)i == view.primary,
				     sim.now) > sim.now)
			continue;
		usec_t sent_at = sim.now;
		health_probe_sent(&probes[i], sim.now);
		sim.call(
			self, i, step,
			[=, this]() -> std::function<void()> {
				struct db_view r = report(i);
				return [=, this] {
					record_report(i, r, sent_at);
				};
			},
			[] {}, kCall);
	}
}

void Proxy::adopt(uint64_t term, uint32_t primary)
{
	if (term <= view.term)
		return;
	view.term = term;
	view.primary = primary;
	hold_until = 0;
	probes[primary].unanswered_at = 0;
}

void Proxy::perform(const struct promote_actions &out)
{
	for (uint32_t n = 0; n < out.n; n++) {
		struct promote_action a = out.a[n];
		switch (a.act) {
		case ACT_CLAIM:
			do_claim(a.term);
			break;
		case ACT_FENCE:
			do_call(a, STEP_FENCE);
			break;
		case ACT_PROMOTE:
			do_call(a, STEP_PROMOTE);
			break;
		case ACT_FOLLOW:
			do_call(a, STEP_FOLLOW);
			break;
		case ACT_PUBLISH:
			do_publish(a);
			break;
		case ACT_ASK_OPINION:
			ask_opinions(a.term);
			break;
		case ACT_HOLD_WRITES:
			hold_until = a.until;
			break;
		case ACT_RELEASE_WRITES:
			hold_until = 0;
			break;
		case ACT_TELL_HOLD:
		case ACT_TELL_RELEASE:
		case ACT_TELL_PEERS:
			for (Proxy *p : peers) {
				sim.call(
					self, p->self, STEP_HANDOVER_HOLD,
					[p, a]() -> std::function<void()> {
						if (a.act == ACT_TELL_PEERS)
							p->adopt(a.term,
								 a.primary);
						else
							p->hold_until = a.until;
						return [] {};
					},
					[] {}, kCall);
			}
			break;
		case ACT_ADOPT:
			adopt(a.term, a.primary);
			break;
		}
	}
}

// Executes a fence, promote or follow call at a database.
void Proxy::do_call(const struct promote_action &a, enum step step)
{
	int i = (int)a.db;
	uint64_t term = a.term;
	sim.call(
		self, i, step,
		[=, this]() -> std::function<void()> {
			Database &d = sim.db[i];
			enum call_result r = CALL_OK;
			if (d.fence > term ||
			    (step == STEP_PROMOTE && d.fence != term)) {
				r = CALL_REFUSED;
			} else if (step == STEP_FENCE && d.fence < term) {
				d.fence = term;
				d.primary_of = 0;
				d.follows = 0;
				d.open.clear();
			} else if (step == STEP_PROMOTE &&
				   d.primary_of != term) {
				d.primary_of = term;
				d.follows = 0;
				d.begin_term(term);
				if (term > sim.newest_term) {
					sim.newest_term = term;
					sim.newest_primary = i;
				}
			} else if (step == STEP_FOLLOW &&
				   d.primary_of != term) {
				d.fence = term;
				d.primary_of = 0;
				d.follows = term;
				d.open.clear();
			}
			struct db_view s = {};
			s.fence_term = d.fence;
			s.end = d.end();
			return [=, this] {
				struct promote_actions out = {};
				struct promote_env e = env();
				if (step == STEP_FENCE)
					promote_fenced(&promoter, &e, a.db,
						       term, r, &s, &out);
				if (step == STEP_PROMOTE)
					promote_promoted(&promoter, &e, a.db,
							 term, r, &out);
				perform(out);
			};
		},
		[=, this] { sim.close(self, i); }, kCall);
}

void Proxy::do_claim(uint64_t term)
{
	auto end = [=, this](enum call_result r, uint64_t claimed) {
		struct promote_actions out = {};
		struct promote_env e = env();
		promote_claimed(&promoter, &e, term, r, claimed, &out);
		perform(out);
	};
	sim.call(
		self, kPlatform, STEP_CLAIM,
		[=, this]() -> std::function<void()> {
			bool ok = sim.platform.claimed < term;
			if (ok)
				sim.platform.claimed = term;
			uint64_t claimed = sim.platform.claimed;
			return [=] {
				end(ok ? CALL_OK : CALL_REFUSED, claimed);
			};
		},
		[=] { end(CALL_LOST, 0); }, 100000);
}

void Proxy::do_publish(const struct promote_action &a)
{
	sim.call(
		self, kPlatform, STEP_PUBLISH,
		[=, this]() -> std::function<void()> {
			if (a.term > sim.platform.term) {
				sim.platform.term = a.term;
				sim.platform.primary = a.primary;
			}
			uint64_t term = sim.platform.term;
			uint32_t primary = sim.platform.primary;
			return [=, this] {
				struct promote_actions out = {};
				struct promote_env e = env();
				promote_published(&promoter, &e, term, CALL_OK);
				promote_heard(&promoter, &e, term, primary,
					      true, 0, &out);
				perform(out);
			};
		},
		[=, this] {
			struct promote_env e = env();
			promote_published(&promoter, &e, a.term, CALL_LOST);
		},
		100000);
}

void Proxy::ask_opinions(uint64_t term)
{
	for (Proxy *p : peers) {
		sim.call(
			self, p->self, STEP_OPINION,
			[=, this]() -> std::function<void()> {
				uint32_t i = p->view.primary;
				enum opinion o = promote_give_opinion(
					&p->promoter, &p->view, term,
					p->probes[i].unanswered_at, sim.now);
				return [=, this] {
					struct promote_env e = env();
					promote_opinion(&promoter, &e, term, o);
				};
			},
			[] {}, kCall);
	}
}

void Proxy::submit(const CallerRequest &request,
		   std::function<void(const CallerResponse &)> done)
{
	auto k = std::make_shared<PendingRequest>();
	struct session_token_keys keys = secret();
	k->request = request;
	k->done = std::move(done);
	k->deadline = sim.now + kDeadline;
	last_used_at = sim.now;
	enum session_token_result r =
		session_token_decode(&k->token, request.token.c_str(), kTeam,
				     &keys, sim.now, INT64_MAX);
	const struct session_token_entry *e =
		session_token_find(&k->token, kService);
	k->requirements.session_known = r == SESSION_TOKEN_OK;
	k->requirements.session_evicted = k->token.evicted;
	k->requirements.has_entry = e != nullptr;
	if (e) {
		k->requirements.seen = e->seen;
		k->requirements.unknown_term = e->unknown_term;
	}
	k->requirements.max_staleness_us = request.max_age_us;
	k->requirements.arrived_at = sim.now;
	k->requirements.deadline = k->deadline;
	pending.push_back(k);
	advance(k);
}

// Routes and sends a request, leaves it waiting for the next tick, or ends it.
void Proxy::advance(const pending_ref &k)
{
	struct route r;
	bool is_read = k->request.kind == IDEM_READ;
	env();
	if (sim.key_withdrawn) {
		if (k->request.tx && transactions.count(k->request.tx))
			tx_key_withdrawn(&transactions[k->request.tx].tx);
		finish(k, k->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
		return;
	}
	if (k->request.tx) {
		advance_tx(k);
		return;
	}
	sim.local_step(self, STEP_ROUTE);
	r = is_read ? route_read(&view, &k->requirements, &kRoute, sim.now,
				 sim.rng())
		    : route_write(&view, &k->requirements, &kRoute, sim.now);
	if (!is_read && r.kind == ROUTE_PRIMARY &&
	    (sim.now < hold_until ||
	     !write_quorum_is_reachable(&view, &kConfirm, sim.now)))
		r.kind = ROUTE_WAIT;
	if (sim.now >= k->deadline || r.kind == ROUTE_REFUSE) {
		finish(k, k->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
		return;
	}
	if (r.kind == ROUTE_WAIT)
		return;
	k->waiting = false;
	connect_and_send(k, (int)r.db);
}

void Proxy::advance_tx(const pending_ref &k)
{
	auto it = transactions.find(k->request.tx);
	if (it == transactions.end()) {
		finish(k, OUTCOME_NOT_RUN);
		return;
	}
	struct transaction *t = &it->second.tx;
	tx_term_changed(t, view.term);
	struct tx_verdict v =
		tx_arrive(t, kTeam, k->request.kind == IDEM_TX_COMMIT, sim.now);
	if (k->request.kind == IDEM_TX_ROLLBACK && v.next == TX_SEND)
		t->state = TX_FAILED;
	if (v.next != TX_SEND) {
		finish(k, v.outcome);
		return;
	}
	k->waiting = false;
	send(k, it->second.at_db);
}

void Proxy::connect_and_send(const pending_ref &k, int i)
{
	if (connected[i]) {
		send(k, i);
		return;
	}
	sim.call(
		self, i, STEP_CONNECT,
		[=, this]() -> std::function<void()> {
			return [=, this] {
				connected[i] = true;
				send(k, i);
			};
		},
		[=, this] {
			call_ended(k, i, CALL_END_NOT_SENT, REFUSAL_NONE);
		},
		kCall);
}

void Proxy::send(const pending_ref &k, int i)
{
	static const enum step steps[] = {
		[IDEM_READ] = STEP_EXECUTE,
		[IDEM_WRITE] = STEP_EXECUTE,
		[IDEM_TX_BEGIN] = STEP_TX_BEGIN,
		[IDEM_TX_STATEMENT] = STEP_TX_STATEMENT,
		[IDEM_TX_COMMIT] = STEP_TX_COMMIT,
		[IDEM_TX_ROLLBACK] = STEP_TX_ROLLBACK,
	};
	enum step step = k->maybe_ran ? STEP_RESOLVE : steps[k->request.kind];
	uint64_t term = view.term;
	usec_t sent_at = sim.now;
	if (k->request.tx)
		term = transactions[k->request.tx].tx.term;
	k->calls++;
	k->sent_term = term;
	sim.call(
		self, i, step,
		[=, this]() -> std::function<void()> {
			Database &d = sim.db[i];
			enum refusal r = REFUSAL_NONE;
			struct log_pos pos = {};
			CallerResponse response;
			int tx = 0;
			bool is_read = k->request.kind == IDEM_READ;
			int open_tx = k->request.tx;
			if (d.fence != term)
				r = d.fence > term ? REFUSAL_STALE_TERM
						   : REFUSAL_TERM_AHEAD;
			else if (!is_read && d.primary_of != term)
				r = REFUSAL_NOT_PRIMARY;
			if (r == REFUSAL_NONE && k->request.request_id) {
				for (size_t n = 0; n < d.log.size(); n++) {
					if (d.log[n].request_id ==
					    k->request.request_id)
						pos = { d.log[n].term, n + 1 };
				}
			}
			bool is_replay = pos.position > 0;
			if (r == REFUSAL_NONE && open_tx && !is_replay &&
			    !d.open.count(open_tx))
				r = REFUSAL_TX_GONE;
			if (r == REFUSAL_NONE && !is_replay) {
				switch (k->request.kind) {
				case IDEM_READ:
					for (const auto &e : d.log)
						response.seen.insert(
							e.writes.begin(),
							e.writes.end());
					break;
				case IDEM_TX_BEGIN:
					tx = d.next_tx++ * 10 + self;
					d.open[tx] = {};
					break;
				case IDEM_TX_STATEMENT:
					for (int x : k->request.writes)
						d.open[open_tx].push_back(x);
					break;
				case IDEM_TX_ROLLBACK:
					d.open.erase(open_tx);
					break;
				case IDEM_WRITE:
				case IDEM_TX_COMMIT:
					d.log.push_back(
						{ term,
						  open_tx ? d.open[open_tx]
							  : k->request.writes,
						  k->request.request_id });
					d.open.erase(open_tx);
					pos = { term, d.log.size() };
					break;
				}
			}
			struct db_view snap = report(i);
			return [=, this] {
				if (k->is_answered || k->confirming)
					return;
				record_report(i, snap, sent_at);
				k->response.seen = response.seen;
				k->response.tx = tx;
				if (pos.position)
					write_quorum_start(&k->confirm, pos,
							   k->deadline);
				call_ended(k, i,
					   r ? CALL_END_REFUSED : CALL_END_DONE,
					   r);
			};
		},
		[=, this] {
			connected[i] = false;
			sim.close(self, i);
			call_ended(k, i, CALL_END_NO_REPLY, REFUSAL_NONE);
		},
		kCall, k->request.kind != IDEM_READ && !k->request.request_id);
}

void Proxy::call_ended(const pending_ref &k, int i, enum call_end end,
		       enum refusal r)
{
	struct idem_call c = {};
	if (k->is_answered)
		return;
	if (k->request.kind == IDEM_READ && end == CALL_END_DONE &&
	    !route_answer_ok(&view, (uint32_t)i, &k->requirements, &kRoute,
			     sim.now)) {
		k->requirements.tried_mask |= 1U << i;
		k->waiting = true;
		k->retry_at = sim.now + kTick;
		return;
	}
	c.kind = k->request.kind;
	c.has_id = k->request.request_id != 0;
	c.maybe_ran = k->maybe_ran;
	c.retry_ok = retry_budget_take(&budget, &kRetry, k->calls);
	c.end = end;
	c.refusal = r;
	c.now = sim.now;
	c.deadline = k->deadline;
	struct idem_verdict v = idem_decide(&c);
	if (end == CALL_END_NO_REPLY)
		k->maybe_ran = true;
	auto it = transactions.find(k->request.tx);
	if (it != transactions.end() && v.next == IDEM_ANSWER) {
		if (k->request.kind == IDEM_TX_STATEMENT)
			tx_statement_end(&it->second.tx,
					 end == CALL_END_NO_REPLY
						 ? OUTCOME_UNKNOWN
						 : v.outcome,
					 v.why);
		if (k->request.kind == IDEM_TX_COMMIT)
			tx_commit_end(&it->second.tx, v.outcome, v.why);
	}
	switch (v.next) {
	case IDEM_ANSWER:
		if (k->request.kind == IDEM_READ && v.outcome == OUTCOME_DONE)
			session_token_raise(&k->token, kService,
					    view.db[i].end);
		if (k->request.kind == IDEM_TX_BEGIN && k->response.tx) {
			HeldTransaction h;
			struct tx_id id = { "vm", 1, (uint64_t)k->response.tx,
					    1 };
			tx_begin(&h.tx, &id, kTeam, k->sent_term, (uint32_t)i,
				 sim.now + kDeadline);
			tx_begun(&h.tx, true, ERR_NONE);
			h.at_db = i;
			transactions[k->response.tx] = h;
		}
		finish(k, v.outcome);
		break;
	case IDEM_CONFIRM:
		k->confirming = true;
		check_confirm(k);
		break;
	case IDEM_RETRY_OTHER:
		k->requirements.tried_mask |= 1U << i;
		[[fallthrough]];
	case IDEM_RETRY:
	case IDEM_RETRY_VIEW:
	case IDEM_RESEND_ID:
		k->retry_at =
			sim.now + retry_backoff(&kRetry, k->calls, sim.rng());
		if (k->request.tx) {
			sim.after(kTick, self, [=, this] { send(k, i); });
			break;
		}
		k->waiting = true;
		break;
	}
}

void Proxy::check_confirm(const pending_ref &k)
{
	switch (write_quorum_check(&k->confirm, &view, sim.now)) {
	case QUORUM_WAIT:
		return;
	case QUORUM_DONE:
		k->confirming = false;
		if (transactions.count(k->request.tx))
			tx_commit_end(&transactions[k->request.tx].tx,
				      OUTCOME_DONE, ERR_NONE);
		finish(k, OUTCOME_DONE);
		return;
	case QUORUM_LOST:
		k->confirming = false;
		call_ended(k, (int)view.primary, CALL_END_LOST, REFUSAL_NONE);
		return;
	case QUORUM_UNKNOWN:
		k->confirming = false;
		call_ended(k, (int)view.primary, CALL_END_UNCONFIRMED,
			   REFUSAL_NONE);
		return;
	}
}

void Proxy::finish(const pending_ref &k, enum outcome o)
{
	struct session_token_keys keys = secret();
	char text[SESSION_TOKEN_TEXT_BYTES];
	k->is_answered = true;
	k->response.outcome = o;
	bool is_write = k->request.kind == IDEM_WRITE ||
			k->request.kind == IDEM_TX_COMMIT;
	if (o == OUTCOME_DONE && is_write) {
		session_token_raise(&k->token, kService, k->confirm.at);
		const Database &d = sim.db[sim.newest_primary];
		for (int x : k->request.writes) {
			if (!d.contains(x) && d.primary_of == sim.newest_term)
				sim.report_violation(
					"acknowledged by a superseded "
					"primary");
		}
	}
	if (o == OUTCOME_UNKNOWN && is_write)
		session_token_mark_unknown(&k->token, kService, k->sent_term);
	if (session_token_encode(&k->token, &keys, sim.now, text) == 0)
		k->response.token = text;
	if (o == OUTCOME_DONE)
		retry_budget_credit(&budget, &kRetry);
	CallerResponse response = k->response;
	auto done = k->done;
	sim.call(
		self, kCaller, STEP_ANSWER,
		[=]() -> std::function<void()> {
			done(response);
			return [] {};
		},
		[] {}, kCall);
}
