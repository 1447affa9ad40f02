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
	.call_us = 15000,
	.phase_us = 150000,
	.backoff_us = 30000,
	.pause_us = 100000,
	.unfollowed_us = 300000,
	.replica_fresh_us = 120000,
	.ahead_ranks = 2,
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
constexpr struct confirm_policy kConfirm = { 120000, 1000 };
constexpr struct retry_policy kRetry = { 200, 100, 2000, 30000, 20 };
constexpr struct probe_policy kProbe = { 2000,	 15000, 30000,
					 100000, 40000, 60000 };

struct token_keys secret()
{
	struct token_keys k = {};
	memset(k.current, 7, sizeof(k.current));
	return k;
}
} // namespace

Proxy::Proxy(World &world, int index) : w(world), me(kFirstVm + index)
{
	view.term = 1;
	view.n = kDbs;
	for (auto &d : view.db)
		d.slots = 8;
	promote_init(&promoter, &kPromote, w.now);
	promoter.published = 1;
	retry_init(&budget, &kRetry);
}

void Proxy::start(std::vector<Proxy *> others)
{
	peers = std::move(others);
	w.after(0, me, [this] { tick(); });
}

// What database i says of itself at this moment.
struct db_view Proxy::report(int i) const
{
	const Database &d = w.db[i];
	struct db_view v = {};
	v.fence_term = d.fence;
	v.end = d.end();
	v.lineage = d.lineage;
	v.role = d.primary_of ? ROLE_PRIMARY : ROLE_REPLICA;
	v.stamp_term = d.primary_of ? d.primary_of : d.stamp_term;
	v.stamp_us = d.primary_of ? w.now : d.stamp;
	return v;
}

// Puts a report in the view unless a later question was answered already.
void Proxy::note(int i, const struct db_view &report, usec_t asked)
{
	struct db_view &v = view.db[i];
	if (v.known && asked < v.asked_at)
		return;
	struct db_view old = v;
	v = report;
	v.known = true;
	v.asked_at = asked;
	v.heard_at = w.now;
	v.state = old.state;
	v.departing_at = old.departing_at;
	v.slots = old.slots;
	probe_heard(&probes[i], asked);
}

struct promote_env Proxy::env()
{
	struct promote_env e = {};
	for (auto &d : view.db) {
		d.state = DB_LIVE;
		d.departing_at = 0;
	}
	if (w.departing) {
		view.db[0].state = DB_DEPARTING;
		view.db[0].departing_at = w.now;
	}
	e.now = w.now;
	e.view = &view;
	e.rank = (uint32_t)(me - kFirstVm);
	e.running = running();
	e.unanswered_at =
		view.primary < kDbs ? probes[view.primary].unanswered_at : 0;
	e.other_domains = true;
	e.platform_up = true;
	e.random = w.rng();
	return e;
}

uint32_t Proxy::running() const
{
	uint32_t n = 0;
	for (const auto &k : works)
		n += !k->waiting && !k->over && k->ask.kind != ONCE_READ;
	return n;
}

void Proxy::tick()
{
	struct promote_actions out = {};
	struct promote_env e = env();
	uint32_t confirms = 0;
	promote_tick(&promoter, &e, &out);
	act(out);
	auto list = works;
	for (const auto &k : list) {
		if (k->over)
			continue;
		if (k->confirming)
			check_confirm(k);
		confirms += k->confirming;
		if (k->waiting && w.now >= k->again_at)
			drive(k);
	}
	std::erase_if(works, [](const work &k) { return k->over; });
	probe_all(confirms);
	w.after(kTick, me, [this] { tick(); });
}

void Proxy::probe_all(uint32_t confirms)
{
	struct probe_need need = { confirms, promoter.phase != PROMOTE_IDLE,
				   used_at };
	for (int i = 0; i < kDbs; i++) {
		enum step step = confirms ? STEP_CONFIRM : STEP_PROBE;
		if (promoter.phase == PROMOTE_HANDOVER)
			step = STEP_HANDOVER_CATCH_UP;
		if (probe_expire(&probes[i], &kProbe, w.now))
			w.close(me, i);
		if (probe_due(&probes[i], &kProbe, &need,
			      (uint32_t)i == view.primary, w.now) > w.now)
			continue;
		usec_t asked = w.now;
		probe_sent(&probes[i], w.now);
		w.call(
			me, i, step,
			[=, this]() -> std::function<void()> {
				struct db_view r = report(i);
				return [=, this] { note(i, r, asked); };
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

void Proxy::act(const struct promote_actions &out)
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
				w.call(
					me, p->me, STEP_HANDOVER_HOLD,
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

// Fence, promote or follow at a database, by its rules.
void Proxy::do_call(const struct promote_action &a, enum step step)
{
	int i = (int)a.db;
	uint64_t term = a.term;
	w.call(
		me, i, step,
		[=, this]() -> std::function<void()> {
			Database &d = w.db[i];
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
				if (term > w.top_term) {
					w.top_term = term;
					w.top_db = i;
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
				act(out);
			};
		},
		[=, this] { w.close(me, i); }, kCall);
}

void Proxy::do_claim(uint64_t term)
{
	auto end = [=, this](enum call_result r, uint64_t claimed) {
		struct promote_actions out = {};
		struct promote_env e = env();
		promote_claimed(&promoter, &e, term, r, claimed, &out);
		act(out);
	};
	w.call(
		me, kPlatform, STEP_CLAIM,
		[=, this]() -> std::function<void()> {
			bool ok = w.platform.claimed < term;
			if (ok)
				w.platform.claimed = term;
			uint64_t claimed = w.platform.claimed;
			return [=] {
				end(ok ? CALL_OK : CALL_REFUSED, claimed);
			};
		},
		[=] { end(CALL_LOST, 0); }, 100000);
}

void Proxy::do_publish(const struct promote_action &a)
{
	w.call(
		me, kPlatform, STEP_PUBLISH,
		[=, this]() -> std::function<void()> {
			if (a.term > w.platform.term) {
				w.platform.term = a.term;
				w.platform.primary = a.primary;
			}
			uint64_t term = w.platform.term;
			uint32_t primary = w.platform.primary;
			return [=, this] {
				struct promote_actions out = {};
				struct promote_env e = env();
				promote_published(&promoter, &e, term, CALL_OK);
				promote_heard(&promoter, &e, term, primary,
					      true, 0, &out);
				act(out);
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
		w.call(
			me, p->me, STEP_OPINION,
			[=, this]() -> std::function<void()> {
				uint32_t i = p->view.primary;
				enum opinion o = promote_give_opinion(
					&p->promoter, &p->view, term,
					p->probes[i].unanswered_at, w.now);
				return [=, this] {
					struct promote_env e = env();
					promote_opinion(&promoter, &e, term, o);
				};
			},
			[] {}, kCall);
	}
}

void Proxy::submit(const Ask &ask, std::function<void(const Told &)> done)
{
	auto k = std::make_shared<Work>();
	struct token_keys keys = secret();
	k->ask = ask;
	k->done = std::move(done);
	k->deadline = w.now + kDeadline;
	used_at = w.now;
	enum token_result r = token_decode(&k->token, ask.token.c_str(), kTeam,
					   &keys, w.now, INT64_MAX);
	const struct token_entry *e = token_find(&k->token, kService);
	k->want.session_known = r == TOKEN_OK;
	k->want.session_evicted = k->token.evicted;
	k->want.has_entry = e != nullptr;
	if (e) {
		k->want.seen = e->seen;
		k->want.unknown_term = e->unknown_term;
	}
	k->want.max_age_us = ask.max_age_us;
	k->want.arrived = w.now;
	k->want.deadline = k->deadline;
	works.push_back(k);
	drive(k);
}

// Routes and sends, or waits for the next tick, or gives up.
void Proxy::drive(const work &k)
{
	struct route r;
	bool read = k->ask.kind == ONCE_READ;
	env();
	if (w.key_withdrawn) {
		if (k->ask.tx && held.count(k->ask.tx))
			tx_key_withdrawn(&held[k->ask.tx].tx);
		finish(k, k->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
		return;
	}
	if (k->ask.tx) {
		drive_tx(k);
		return;
	}
	w.local(me, STEP_ROUTE);
	r = read ? route_read(&view, &k->want, &kRoute, w.now, w.rng())
		 : route_write(&view, &k->want, &kRoute, w.now);
	if (!read && r.kind == ROUTE_PRIMARY &&
	    (w.now < hold_until || !confirm_possible(&view, &kConfirm, w.now)))
		r.kind = ROUTE_WAIT;
	if (w.now >= k->deadline || r.kind == ROUTE_REFUSE) {
		finish(k, k->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
		return;
	}
	if (r.kind == ROUTE_WAIT)
		return;
	k->waiting = false;
	connect_and_send(k, (int)r.db);
}

void Proxy::drive_tx(const work &k)
{
	auto at = held.find(k->ask.tx);
	if (at == held.end()) {
		finish(k, OUTCOME_NOT_RUN);
		return;
	}
	struct transaction *t = &at->second.tx;
	tx_view(t, view.term);
	struct tx_verdict v =
		tx_arrive(t, kTeam, k->ask.kind == ONCE_TX_COMMIT, w.now);
	if (k->ask.kind == ONCE_TX_ROLLBACK && v.next == TX_SEND)
		t->state = TX_FAILED;
	if (v.next != TX_SEND) {
		finish(k, v.outcome);
		return;
	}
	k->waiting = false;
	send(k, at->second.at_db);
}

void Proxy::connect_and_send(const work &k, int i)
{
	if (connected[i]) {
		send(k, i);
		return;
	}
	w.call(
		me, i, STEP_CONNECT,
		[=, this]() -> std::function<void()> {
			return [=, this] {
				connected[i] = true;
				send(k, i);
			};
		},
		[=, this] { ended(k, i, CALL_END_NOT_SENT, REFUSAL_NONE); },
		kCall);
}

void Proxy::send(const work &k, int i)
{
	static const enum step steps[] = {
		[ONCE_READ] = STEP_EXECUTE,
		[ONCE_WRITE] = STEP_EXECUTE,
		[ONCE_TX_BEGIN] = STEP_TX_BEGIN,
		[ONCE_TX_STATEMENT] = STEP_TX_STATEMENT,
		[ONCE_TX_COMMIT] = STEP_TX_COMMIT,
		[ONCE_TX_ROLLBACK] = STEP_TX_ROLLBACK,
	};
	enum step step = k->maybe_ran ? STEP_RESOLVE : steps[k->ask.kind];
	uint64_t term = view.term;
	usec_t asked = w.now;
	if (k->ask.tx)
		term = held[k->ask.tx].tx.term;
	k->calls++;
	k->sent_term = term;
	w.call(
		me, i, step,
		[=, this]() -> std::function<void()> {
			Database &d = w.db[i];
			enum refusal r = REFUSAL_NONE;
			struct log_pos at = {};
			Told told;
			int tx = 0;
			bool read = k->ask.kind == ONCE_READ;
			int mine = k->ask.tx;
			if (d.fence != term)
				r = d.fence > term ? REFUSAL_STALE_TERM
						   : REFUSAL_TERM_AHEAD;
			else if (!read && d.primary_of != term)
				r = REFUSAL_NOT_PRIMARY;
			if (r == REFUSAL_NONE && k->ask.request) {
				for (size_t n = 0; n < d.log.size(); n++) {
					if (d.log[n].request == k->ask.request)
						at = { d.log[n].term, n + 1 };
				}
			}
			bool replay = at.position > 0;
			if (r == REFUSAL_NONE && mine && !replay &&
			    !d.open.count(mine))
				r = REFUSAL_TX_GONE;
			if (r == REFUSAL_NONE && !replay) {
				switch (k->ask.kind) {
				case ONCE_READ:
					for (const auto &e : d.log)
						told.seen.insert(
							e.writes.begin(),
							e.writes.end());
					break;
				case ONCE_TX_BEGIN:
					tx = d.next_tx++ * 10 + me;
					d.open[tx] = {};
					break;
				case ONCE_TX_STATEMENT:
					for (int x : k->ask.writes)
						d.open[mine].push_back(x);
					break;
				case ONCE_TX_ROLLBACK:
					d.open.erase(mine);
					break;
				case ONCE_WRITE:
				case ONCE_TX_COMMIT:
					d.log.push_back({ term,
							  mine ? d.open[mine]
							       : k->ask.writes,
							  k->ask.request });
					d.open.erase(mine);
					at = { term, d.log.size() };
					break;
				}
			}
			struct db_view snap = report(i);
			return [=, this] {
				if (k->over || k->confirming)
					return;
				note(i, snap, asked);
				k->told.seen = told.seen;
				k->told.tx = tx;
				if (at.position)
					confirm_start(&k->confirm, at,
						      k->deadline);
				ended(k, i,
				      r ? CALL_END_REFUSED : CALL_END_DONE, r);
			};
		},
		[=, this] {
			connected[i] = false;
			w.close(me, i);
			ended(k, i, CALL_END_NO_REPLY, REFUSAL_NONE);
		},
		kCall, k->ask.kind != ONCE_READ && !k->ask.request);
}

void Proxy::ended(const work &k, int i, enum call_end end, enum refusal r)
{
	struct once_call c = {};
	if (k->over)
		return;
	if (k->ask.kind == ONCE_READ && end == CALL_END_DONE &&
	    !route_answer_ok(&view, (uint32_t)i, &k->want, &kRoute, w.now)) {
		k->want.tried |= 1U << i;
		k->waiting = true;
		k->again_at = w.now + kTick;
		return;
	}
	c.kind = k->ask.kind;
	c.has_id = k->ask.request != 0;
	c.maybe_ran = k->maybe_ran;
	c.retry_ok = retry_take(&budget, &kRetry, k->calls);
	c.end = end;
	c.refusal = r;
	c.now = w.now;
	c.deadline = k->deadline;
	struct once_verdict v = once_decide(&c);
	if (end == CALL_END_NO_REPLY)
		k->maybe_ran = true;
	auto at = held.find(k->ask.tx);
	if (at != held.end() && v.next == ONCE_ANSWER) {
		if (k->ask.kind == ONCE_TX_STATEMENT)
			tx_statement_end(&at->second.tx,
					 end == CALL_END_NO_REPLY
						 ? OUTCOME_UNKNOWN
						 : v.outcome,
					 v.why);
		if (k->ask.kind == ONCE_TX_COMMIT)
			tx_commit_end(&at->second.tx, v.outcome, v.why);
	}
	switch (v.next) {
	case ONCE_ANSWER:
		if (k->ask.kind == ONCE_READ && v.outcome == OUTCOME_DONE)
			token_raise(&k->token, kService, view.db[i].end);
		if (k->ask.kind == ONCE_TX_BEGIN && k->told.tx) {
			Held h;
			struct tx_id id = { "vm", 1, (uint64_t)k->told.tx, 1 };
			tx_begin(&h.tx, &id, kTeam, k->sent_term, (uint32_t)i,
				 w.now + kDeadline);
			tx_begun(&h.tx, true, ERR_NONE);
			h.at_db = i;
			held[k->told.tx] = h;
		}
		finish(k, v.outcome);
		break;
	case ONCE_CONFIRM:
		k->confirming = true;
		check_confirm(k);
		break;
	case ONCE_RETRY_OTHER:
		k->want.tried |= 1U << i;
		[[fallthrough]];
	case ONCE_RETRY:
	case ONCE_RETRY_VIEW:
	case ONCE_RESEND_ID:
		k->again_at = w.now + retry_delay(&kRetry, k->calls, w.rng());
		if (k->ask.tx) {
			w.after(kTick, me, [=, this] { send(k, i); });
			break;
		}
		k->waiting = true;
		break;
	}
}

void Proxy::check_confirm(const work &k)
{
	switch (confirm_check(&k->confirm, &view, w.now)) {
	case CONFIRM_WAIT:
		return;
	case CONFIRM_DONE:
		k->confirming = false;
		if (held.count(k->ask.tx))
			tx_commit_end(&held[k->ask.tx].tx, OUTCOME_DONE,
				      ERR_NONE);
		finish(k, OUTCOME_DONE);
		return;
	case CONFIRM_LOST:
		k->confirming = false;
		ended(k, (int)view.primary, CALL_END_LOST, REFUSAL_NONE);
		return;
	case CONFIRM_UNKNOWN:
		k->confirming = false;
		ended(k, (int)view.primary, CALL_END_UNSURE, REFUSAL_NONE);
		return;
	}
}

void Proxy::finish(const work &k, enum outcome o)
{
	struct token_keys keys = secret();
	char text[TOKEN_TEXT_BYTES];
	k->over = true;
	k->told.outcome = o;
	bool wrote = k->ask.kind == ONCE_WRITE || k->ask.kind == ONCE_TX_COMMIT;
	if (o == OUTCOME_DONE && wrote) {
		token_raise(&k->token, kService, k->confirm.at);
		const Database &d = w.db[w.top_db];
		for (int x : k->ask.writes) {
			if (!d.holds(x) && d.primary_of == w.top_term)
				w.break_promise("acknowledged by a superseded "
						"primary");
		}
	}
	if (o == OUTCOME_UNKNOWN && wrote)
		token_mark_unknown(&k->token, kService, k->sent_term);
	if (token_encode(&k->token, &keys, w.now, text) == 0)
		k->told.token = text;
	if (o == OUTCOME_DONE)
		retry_earn(&budget, &kRetry);
	Told told = k->told;
	auto done = k->done;
	w.call(
		me, kClient, STEP_ANSWER,
		[=]() -> std::function<void()> {
			done(told);
			return [] {};
		},
		[] {}, kCall);
}
