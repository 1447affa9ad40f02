#include "simulation.h"

namespace
{
constexpr usec_t kFaultTime = 900000; // past every time limit
}

bool Database::contains(int write) const
{
	return count(write) > 0;
}

int Database::count(int write) const
{
	int n = 0;
	for (const auto &e : log) {
		for (int w : e.writes)
			n += w == write;
	}
	return n;
}

void Database::begin_term(uint64_t term)
{
	if (lineage.n == LINEAGE_MAX) {
		for (uint32_t i = 1; i < LINEAGE_MAX; i++)
			lineage.start[i - 1] = lineage.start[i];
		lineage.n--;
	}
	lineage.start[lineage.n++] = { term, log.size() };
}

void Database::truncate(uint64_t size)
{
	if (log.size() > size)
		log.resize(size);
}

Simulation::Simulation(const struct matrix_cell &c) : rng(c.seed), cell(c)
{
	db[0].primary_of = 1;
	db[0].follows = 0;
	switch (c.step) {
	case STEP_EXECUTE:
	case STEP_CONFIRM:
	case STEP_PROBE:
	case STEP_ANSWER:
	case STEP_ROUTE:
		skip = (int)(c.seed % 7);
		break;
	default:
		break;
	}
}

void Simulation::after(usec_t us, int node, std::function<void()> fn)
{
	events.push({ now + us, order++, node, std::move(fn) });
}

void Simulation::run_until(usec_t t)
{
	while (!events.empty() && events.top().at <= t) {
		Event e = events.top();
		events.pop();
		now = e.at;
		if (paused_until[e.node] > now) {
			e.at = paused_until[e.node];
			events.push(e);
			continue;
		}
		if (down_until[e.node] <= now || e.node < kFirstVm)
			e.fn();
	}
	now = t;
}

bool Simulation::alive(int node) const
{
	return down_until[node] <= now;
}

bool Simulation::can_reach(int from, int to) const
{
	return cut_until[from][to] <= now && alive(to);
}

usec_t Simulation::message_delay()
{
	return 500 + (usec_t)(rng() % 500);
}

bool Simulation::chance(int percent)
{
	return (int)(rng() % 100) < percent;
}

void Simulation::close(int vm, int to)
{
	silent[vm][to] = false;
}

void Simulation::report_violation(const std::string &what)
{
	if (violation.empty())
		violation = what;
}

// Injects the fault into one of the first messages of its step once armed.
Simulation::Injection Simulation::inject(int from, int to, enum step step)
{
	Injection s;
	if (!armed || injected || step != cell.step || skip-- > 0)
		return s;
	injected = true;
	apply(cell.fault, from, to, s);
	apply(cell.second, from, to, s);
	return s;
}

void Simulation::apply(enum fault f, int from, int to, Injection &s)
{
	switch (f) {
	case FAULT_DIE_BEFORE:
		s.drop_request = true;
		down_until[to == kCaller ? from : to] = now + kFaultTime;
		break;
	case FAULT_DIE_AFTER:
		s.dies_after_handling = true;
		break;
	case FAULT_REPLY_LOST:
		s.drop_reply = true;
		break;
	case FAULT_DELAYED:
		s.delay = kFaultTime;
		break;
	case FAULT_DOUBLED:
		s.twice = true;
		break;
	case FAULT_REORDERED:
		s.delay = (usec_t)(rng() % 60000);
		break;
	case FAULT_SILENT:
		silent[from][to] = true;
		break;
	case FAULT_PAUSE:
		paused_until[from == kCaller ? to : from] = now + kFaultTime;
		break;
	case FAULT_CUT_ONE_WAY:
		cut_until[to][from] = now + kFaultTime;
		break;
	case FAULT_CUT_BOTH:
		cut_until[to][from] = now + kFaultTime;
		cut_until[from][to] = now + kFaultTime;
		break;
	case FAULT_PLATFORM_DOWN:
		down_until[kPlatform] = now + kFaultTime;
		break;
	case FAULT_PLATFORM_SLOW:
		slow_until = now + kFaultTime;
		break;
	case FAULT_PLATFORM_LOST:
		platform_replies_to_lose = 3;
		break;
	case FAULT_KEY_WITHDRAWN:
		key_withdrawn = true;
		break;
	default:
		break;
	}
}

void Simulation::local_step(int node, enum step step)
{
	(void)inject(node, node, step);
}

void Simulation::call(int from, int to, enum step step, request_handler run,
		      std::function<void()> on_timeout, usec_t timeout,
		      bool send_once)
{
	Injection s = inject(from, to, step);
	if (s.dies_after_handling && to == kCaller)
		after(0, from,
		      [=, this] { down_until[from] = now + kFaultTime; });
	auto open = std::make_shared<bool>(true);
	bool is_silent = silent[from][to];
	after(timeout, from, [=] {
		if (!*open)
			return;
		*open = false;
		on_timeout();
	});
	if (is_silent || s.drop_request || !can_reach(from, to))
		return;
	usec_t delay_to = message_delay() + s.delay;
	if (to == kPlatform && slow_until > now)
		delay_to += 150000;
	for (int copy = 0; copy <= (s.twice && !send_once ? 1 : 0); copy++) {
		after(delay_to + copy * 3000, to, [=, this] {
			if (!alive(to))
				return;
			std::function<void()> deliver_reply = run();
			bool lost = s.drop_reply;
			if (step == STEP_EXECUTE || step == STEP_TX_COMMIT)
				lost |= chance(reply_loss_percent);
			if (to == kPlatform && platform_replies_to_lose > 0) {
				platform_replies_to_lose--;
				lost = true;
			}
			if (s.dies_after_handling && to != kCaller) {
				down_until[to] = now + kFaultTime;
				return;
			}
			if (lost || !can_reach(to, from) || silent[from][to])
				return;
			auto receive_reply = [=] {
				if (!*open)
					return;
				*open = false;
				if (deliver_reply)
					deliver_reply();
			};
			after(message_delay(), from, receive_reply);
			if (s.twice)
				after(message_delay() + 3000, from,
				      receive_reply);
		});
	}
}

void Simulation::heal()
{
	for (int i = 0; i < kNodes; i++) {
		down_until[i] = 0;
		for (int j = 0; j < kNodes; j++) {
			cut_until[i][j] = 0;
			silent[i][j] = false;
		}
	}
	platform_replies_to_lose = 0;
	slow_until = 0;
}

void Simulation::crash(int node, usec_t until)
{
	down_until[node] = until;
}

// Runs one round of replication at a follower: removes entries that diverge
// from the primary's log, or else copies one entry.
void Simulation::replicate(int i)
{
	Database &f = db[i];
	if (!f.follows || f.follows != f.fence || !alive(i))
		return;
	int at = -1;
	for (int j = 0; j < kDbs; j++) {
		if (db[j].primary_of == f.follows && db[j].fence == f.follows)
			at = j;
	}
	if (at < 0 || !can_reach(i, at) || !can_reach(at, i))
		return;
	Database &p = db[at];
	size_t same = 0;
	while (same < f.log.size() && same < p.log.size() &&
	       f.log[same].term == p.log[same].term)
		same++;
	bool truncate = same < f.log.size();
	f.truncate(same);
	f.open.clear();
	if (!truncate && f.log.size() < p.log.size())
		f.log.push_back(p.log[f.log.size()]);
	f.lineage.n = 0;
	for (uint32_t k = 0; k < p.lineage.n; k++) {
		if (p.lineage.start[k].position <= f.log.size())
			f.lineage.start[f.lineage.n++] = p.lineage.start[k];
	}
	if (f.log.size() == p.log.size()) {
		f.stamp = now;
		f.stamp_term = p.primary_of;
	}
}
