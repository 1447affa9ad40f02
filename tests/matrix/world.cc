#include "world.h"

namespace
{
constexpr usec_t kLong = 900000; // past every time limit
}

bool Database::holds(int write) const
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

void Database::cut(uint64_t size)
{
	if (log.size() > size)
		log.resize(size);
}

World::World(const struct matrix_cell &c) : rng(c.seed), cell(c)
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

void World::after(usec_t us, int who, std::function<void()> fn)
{
	events.push({ now + us, order++, who, std::move(fn) });
}

void World::run_until(usec_t t)
{
	while (!events.empty() && events.top().at <= t) {
		Event e = events.top();
		events.pop();
		now = e.at;
		if (paused_until[e.who] > now) {
			e.at = paused_until[e.who];
			events.push(e);
			continue;
		}
		if (down_until[e.who] <= now || e.who < kFirstVm)
			e.fn();
	}
	now = t;
}

bool World::alive(int who) const
{
	return down_until[who] <= now;
}

bool World::passes(int from, int to) const
{
	return cut_until[from][to] <= now && alive(to);
}

usec_t World::latency()
{
	return 500 + (usec_t)(rng() % 500);
}

bool World::chance(int percent)
{
	return (int)(rng() % 100) < percent;
}

void World::close(int vm, int to)
{
	silent[vm][to] = false;
}

void World::break_promise(const std::string &what)
{
	if (broken.empty())
		broken = what;
}

// The fault strikes at one of the first messages of its step once armed.
World::Strike World::strike(int from, int to, enum step step)
{
	Strike s;
	if (!armed || struck || step != cell.step || skip-- > 0)
		return s;
	struck = true;
	apply(cell.fault, from, to, s);
	apply(cell.second, from, to, s);
	return s;
}

void World::apply(enum fault f, int from, int to, Strike &s)
{
	switch (f) {
	case FAULT_DIE_BEFORE:
		s.drop_request = true;
		down_until[to == kClient ? from : to] = now + kLong;
		break;
	case FAULT_DIE_AFTER:
		s.die_after = true;
		break;
	case FAULT_REPLY_LOST:
		s.drop_reply = true;
		break;
	case FAULT_DELAYED:
		s.delay = kLong;
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
		paused_until[from == kClient ? to : from] = now + kLong;
		break;
	case FAULT_CUT_ONE_WAY:
		cut_until[to][from] = now + kLong;
		break;
	case FAULT_CUT_BOTH:
		cut_until[to][from] = now + kLong;
		cut_until[from][to] = now + kLong;
		break;
	case FAULT_PLATFORM_DOWN:
		down_until[kPlatform] = now + kLong;
		break;
	case FAULT_PLATFORM_SLOW:
		slow_until = now + kLong;
		break;
	case FAULT_PLATFORM_LOST:
		lose_platform = 3;
		break;
	case FAULT_KEY_WITHDRAWN:
		key_withdrawn = true;
		break;
	default:
		break;
	}
}

void World::local(int who, enum step step)
{
	(void)strike(who, who, step);
}

void World::call(int from, int to, enum step step, effect run,
		 std::function<void()> overdue, usec_t timeout, bool once)
{
	Strike s = strike(from, to, step);
	if (s.die_after && to == kClient)
		after(0, from, [=, this] { down_until[from] = now + kLong; });
	auto open = std::make_shared<bool>(true);
	bool quiet = silent[from][to];
	after(timeout, from, [=] {
		if (!*open)
			return;
		*open = false;
		overdue();
	});
	if (quiet || s.drop_request || !passes(from, to))
		return;
	usec_t there = latency() + s.delay;
	if (to == kPlatform && slow_until > now)
		there += 150000;
	for (int copy = 0; copy <= (s.twice && !once ? 1 : 0); copy++) {
		after(there + copy * 3000, to, [=, this] {
			if (!alive(to))
				return;
			std::function<void()> back = run();
			bool lost = s.drop_reply;
			if (step == STEP_EXECUTE || step == STEP_TX_COMMIT)
				lost |= chance(loss);
			if (to == kPlatform && lose_platform > 0) {
				lose_platform--;
				lost = true;
			}
			if (s.die_after && to != kClient) {
				down_until[to] = now + kLong;
				return;
			}
			if (lost || !passes(to, from) || silent[from][to])
				return;
			auto arrive = [=] {
				if (!*open)
					return;
				*open = false;
				if (back)
					back();
			};
			after(latency(), from, arrive);
			if (s.twice)
				after(latency() + 3000, from, arrive);
		});
	}
}

void World::heal()
{
	for (int i = 0; i < kPeers; i++) {
		down_until[i] = 0;
		for (int j = 0; j < kPeers; j++) {
			cut_until[i][j] = 0;
			silent[i][j] = false;
		}
	}
	lose_platform = 0;
	slow_until = 0;
}

void World::kill(int who, usec_t until)
{
	down_until[who] = until;
}

// One round of replication at a follower; a cut first if the logs part.
void World::replicate(int i)
{
	Database &f = db[i];
	if (!f.follows || f.follows != f.fence || !alive(i))
		return;
	int at = -1;
	for (int j = 0; j < kDbs; j++) {
		if (db[j].primary_of == f.follows && db[j].fence == f.follows)
			at = j;
	}
	if (at < 0 || !passes(i, at) || !passes(at, i))
		return;
	Database &p = db[at];
	size_t same = 0;
	while (same < f.log.size() && same < p.log.size() &&
	       f.log[same].term == p.log[same].term)
		same++;
	bool cut = same < f.log.size();
	f.cut(same);
	f.open.clear();
	if (!cut && f.log.size() < p.log.size())
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
