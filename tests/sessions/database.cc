#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>

#include "fake_platform.h"

namespace
{
// The window in which the statements of a database are counted.
const int64_t kWindowMs = 1000;

// Takes the first word off a text.
std::string word(std::string &text)
{
	size_t at = text.find(' ');
	std::string w = text.substr(0, at);
	text = at == std::string::npos ? "" : text.substr(at + 1);
	return w;
}

Position position(const std::string &text)
{
	Position p;
	size_t dot = text.find('.');
	p.term = strtoull(text.c_str(), nullptr, 10);
	p.number = strtoull(text.c_str() + dot + 1, nullptr, 10);
	return p;
}

void on_accept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *ctx)
{
	static_cast<Database *>(ctx)->accept(fd);
}
} // namespace

Database::Database(FakePlatform *w, std::string name, std::string of,
		   bool is_primary)
    : platform(w), id(std::move(name)), service(std::move(of)),
      primary(is_primary)
{
	sockaddr_in at = {};
	socklen_t len = sizeof(at);
	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	evconnlistener *l = evconnlistener_new_bind(
		w->base, on_accept, this,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64, (sockaddr *)&at,
		sizeof(at));
	getsockname(evconnlistener_get_fd(l), (sockaddr *)&at, &len);
	port = ntohs(at.sin_port);
}

void Database::accept(evutil_socket_t fd)
{
	if (!running) {
		evutil_closesocket(fd);
		return;
	}
	auto *c = new Connection;
	c->db = this;
	c->bev = bufferevent_socket_new(platform->base, fd,
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, nullptr, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	connections.insert(c);
}

void Database::close_all()
{
	while (!connections.empty())
		drop(*connections.begin());
}

Position Database::end() const
{
	Position p;
	if (!log.empty())
		return log.back().at;
	p.term = 1;
	return p;
}

// Returns true if the log visible to reads contains the position.
bool Database::has_position(const Position &p) const
{
	if (p.number == 0)
		return true;
	for (size_t i = 0; i < applied; i++) {
		if (log[i].at.term == p.term && log[i].at.number == p.number)
			return true;
	}
	return false;
}

void Database::on_read(bufferevent *bev, void *ctx)
{
	auto *c = static_cast<Connection *>(ctx);
	auto *db = c->db;
	size_t len;
	while (!db->mute && db->connections.count(c)) {
		char *s = evbuffer_readln(bufferevent_get_input(bev), &len,
					  EVBUFFER_EOL_CRLF_STRICT);
		if (!s)
			return;
		std::string text(s, len);
		free(s);
		db->line(c, text);
	}
}

void Database::on_event(bufferevent *, short what, void *ctx)
{
	auto *c = static_cast<Connection *>(ctx);
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		c->db->drop(c);
}

void Database::line(Connection *c, const std::string &text)
{
	std::string rest = text;
	std::string verb = word(rest);
	if (verb == "START" && !c->started) {
		std::string wanted_service = word(rest);
		std::string team = word(rest);
		std::string wanted = word(rest);
		const char *code = nullptr;
		if (wanted_service != service ||
		    (!wanted.empty() && wanted != id))
			code = "WRONGNODE";
		else if (connections.size() > max_connections)
			code = "TOOMANY";
		if (code) {
			refuse(c, code);
			drop(c);
			return;
		}
		c->started = true;
		ready(c);
	} else if (verb == "QUERY" && c->started) {
		std::string name = word(rest);
		query(c, name, rest);
	} else {
		drop(c);
	}
}

// Executes a statement or a control request, and sends the READY that ends its
// reply.
void Database::query(Connection *c, const std::string &name, std::string text)
{
	std::string first = text.substr(0, text.find(' '));
	if (first == "AFTER") {
		word(text);
		Position at = position(word(text));
		count(text.substr(0, text.find(' ')));
		if (!has_position(at)) {
			refuse(c, "LAGGING");
			ready(c);
			return;
		}
	} else {
		count(first);
	}
	if (refuse_busy > 0 && name != "-") {
		refuse_busy--;
		refuse(c, "BUSY");
		ready(c);
		return;
	}
	statement(c, name, text);
	if (!connections.count(c))
		return;
	if (lose_replies > 0 && name != "-") {
		lose_replies--;
		evbuffer *out = bufferevent_get_output(c->bev);
		evbuffer_drain(out, evbuffer_get_length(out));
		drop(c);
		return;
	}
	ready(c);
}

// Counts a statement that has arrived, unless it is a control request.
void Database::count(const std::string &verb)
{
	if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
	    verb == "STEPDOWN")
		return;
	n_arrived++;
	arrived_at = FakePlatform::now_ms();
	last_arrivals.push_back(arrived_at);
	while (arrived_at - last_arrivals.front() >= kWindowMs)
		last_arrivals.pop_front();
	peak_per_s = std::max(peak_per_s, last_arrivals.size());
}

void Database::statement(Connection *c, const std::string &name,
			 const std::string &text)
{
	std::string rest = text;
	std::string verb = word(rest);
	std::string shape;
	if (verb == "EXECUTE") {
		auto p = c->prepared.find(word(rest));
		if (p == c->prepared.end()) {
			refuse(c, "NOSTMT");
			return;
		}
		verb = p->second.first ? "WRITE" : "READ";
		shape = p->second.second;
	}
	if (verb == "BEGIN") {
		if (!primary && rest != "READ") {
			refuse(c, "READONLY");
			return;
		}
		c->state = 'T';
		c->read_only = rest == "READ";
		c->snapshot = applied;
		c->writes.clear();
		complete(c, "-", "");
	} else if (verb == "COMMIT") {
		commit(c, name);
	} else if (verb == "ROLLBACK") {
		c->state = 'I';
		c->writes.clear();
		complete(c, "-", "");
	} else if (verb == "READ") {
		read(c, name, rest, shape);
	} else if (verb == "WRITE") {
		std::string item = word(rest);
		write(c, name, item, rest, shape);
	} else if (verb == "SET") {
		std::string key = word(rest);
		c->vars[key] = rest;
		complete(c, "-", "");
	} else if (verb == "PREPARE") {
		std::string key = word(rest);
		bool writes = word(rest) == "WRITE";
		c->prepared[key] = { writes, rest };
		complete(c, "-", "");
	} else if (verb == "RESET") {
		c->vars.clear();
		c->prepared.clear();
		complete(c, "-", "");
	} else if (verb == "STATUS") {
		report(c);
	} else if (verb == "PAUSE") {
		uint64_t t = strtoull(rest.c_str(), nullptr, 10);
		if (!primary && t > term)
			paused_term = t;
		report(c);
	} else if (verb == "RESUME") {
		paused_term = 0;
		if (Database *leader = platform->newest_primary(service))
			platform->replicate(leader);
		report(c);
	} else if (verb == "STEPDOWN") {
		if (primary && strtoull(rest.c_str(), nullptr, 10) > term)
			primary = false;
		report(c);
	} else {
		refuse(c, "MALFORMED");
	}
}

// Returns a value as the connection sees it. An item that begins with a dollar
// sign is a session variable.
std::string Database::value(Connection *c, const std::string &item) const
{
	std::string found;
	size_t seen = c->state == 'T' ? c->snapshot : applied;
	if (item[0] == '$') {
		auto v = c->vars.find(item.substr(1));
		return v == c->vars.end() ? "unset" : v->second;
	}
	for (size_t i = 0; i < seen; i++) {
		if (log[i].item == item)
			found = log[i].data;
	}
	for (const auto &w : c->writes) {
		if (w.item == item)
			found = w.data;
	}
	return found.empty() ? "none" : found;
}

void Database::read(Connection *c, const std::string &name,
		    const std::string &item, const std::string &shape)
{
	if (!primary && c->state == 'T' && !c->read_only) {
		c->state = 'E';
		refuse(c, "READONLY");
		return;
	}
	platform->statements_run++;
	complete(c, name, value(c, item) + (shape.empty() ? "" : " " + shape));
}

void Database::write(Connection *c, const std::string &name,
		     const std::string &item, const std::string &data,
		     const std::string &shape)
{
	if (!primary || (c->state == 'T' && c->read_only)) {
		if (c->state == 'T')
			c->state = 'E';
		refuse(c, "READONLY");
		return;
	}
	platform->statements_run++;
	platform->write_counts[name]++;
	c->writes.push_back({ {}, item, data });
	if (c->state == 'I')
		commit(c, name);
	else
		complete(c, name, shape);
}

void Database::commit(Connection *c, const std::string &name)
{
	if (!primary && !c->writes.empty()) {
		c->state = 'E';
		refuse(c, "READONLY");
		return;
	}
	if (!c->writes.empty() && platform->newest_primary(service) != this)
		platform->old_commits++;
	const bool writes = !c->writes.empty();
	for (auto &w : c->writes) {
		w.at = { term, log.size() + 1 };
		log.push_back(w);
	}
	c->writes.clear();
	c->state = 'I';
	if (primary)
		applied = log.size();
	platform->replicate(this);
	if (writes && !platform->is_replicated(this)) {
		drop(c);
		return;
	}
	complete(c, name, "");
}

void Database::report(Connection *c)
{
	std::ostringstream row;
	row << (primary ? "primary " : "replica ") << term << " "
	    << end().text() << " " << paused_term << " " << lag_ms << " 0 "
	    << connections.size();
	complete(c, "-", row.str());
}

// Sends the result; its signature names the database and the statement.
void Database::complete(Connection *c, const std::string &name,
			const std::string &row)
{
	evbuffer *out = bufferevent_get_output(c->bev);
	if (!row.empty())
		evbuffer_add_printf(out, "ROW %s\r\n", row.c_str());
	if (name == "-")
		evbuffer_add_printf(out, "COMPLETE -\r\n");
	else
		evbuffer_add_printf(out, "COMPLETE mac.%s.%s\r\n", id.c_str(),
				    name.c_str());
}

void Database::refuse(Connection *c, const std::string &code)
{
	evbuffer_add_printf(bufferevent_get_output(c->bev), "ERROR %s %s\r\n",
			    code.c_str(), id.c_str());
}

void Database::ready(Connection *c)
{
	Position p = applied ? log[applied - 1].at : Position();
	evbuffer_add_printf(bufferevent_get_output(c->bev), "READY %c %s\r\n",
			    c->state, p.text().c_str());
}

void Database::drop(Connection *c)
{
	connections.erase(c);
	// Flush the output before the connection is closed.
	evbuffer *out = bufferevent_get_output(c->bev);
	evbuffer_write(out, bufferevent_getfd(c->bev));
	bufferevent_free(c->bev);
	delete c;
}
