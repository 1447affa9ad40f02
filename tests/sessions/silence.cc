#include <linux/filter.h>
#include <sys/socket.h>

#include "fake_platform.h"

// Connections to the store that fall silent without a reset, and how long the
// fleet takes to act on the departure of a primary meanwhile.

namespace
{
constexpr int kPercent = 100;
} // namespace

// Makes so many in 100 of the open connections to the store silent for good.
// Requests on them and watches that are held there are never answered.
void FakePlatform::silence_store_connections(int percent)
{
	std::set<evhttp_connection *> chosen;
	for (auto *c : store_connections) {
		if ((int)(random() % kPercent) < percent &&
		    drop_input(evhttp_connection_get_bufferevent(c)))
			chosen.insert(c);
	}
	std::vector<Watch> held;
	held.swap(watches);
	for (const auto &w : held) {
		if (!chosen.count(evhttp_request_get_connection(w.req)))
			watches.push_back(w);
	}
	for (auto *c : chosen)
		store_connections.erase(c);
	n_silenced += chosen.size();
}

// Makes so many in 100 of the open connections to databases silent for good.
void FakePlatform::silence_database_connections(int percent)
{
	for (auto *db : databases) {
		for (auto *c : db->connections) {
			if ((int)(random() % kPercent) < percent &&
			    drop_input(c->bev))
				n_silenced++;
		}
	}
}

// Lets the kernel drop all that arrives for a connection, so that nothing is
// acknowledged, keep-alive probes included. Returns false if it can't.
bool FakePlatform::drop_input(bufferevent *bev)
{
	sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
	sock_fprog program = { 1, &drop_all };
	return setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_ATTACH_FILTER,
			  &program, sizeof(program)) == 0;
}

// Begins to measure if the database is a primary that departs.
void FakePlatform::note_departure(const Database *db)
{
	if (!db->departing || db != newest_primary())
		return;
	departed_at = now_ms();
	listed_at = 0;
	claimed_at = 0;
}

// Notes the first list of databases after the departure.
void FakePlatform::note_list(const std::string &kind)
{
	if (kind == "servers" && departed_at && !listed_at)
		listed_at = now_ms();
}

// Counts claims, and notes the first one after the departure.
void FakePlatform::note_claim()
{
	n_claims++;
	if (departed_at && !claimed_at)
		claimed_at = now_ms();
}
