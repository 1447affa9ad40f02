#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX  4096
#define EVENTS_MAX   65536
#define LOG_MAX	     65536
#define ARRIVALS_MAX 200000
#define ERA	     3
#define PAGE	     500
#define HEARTBEAT_MS 1200

struct object {
	char kind[64];
	char name[128];
	uint64_t revision;
	uint64_t created;
	char *spec;
};

struct event {
	uint64_t revision;
	char kind[64];
	char *text; /* {"deleted":..,"object":..} */
};

struct entry {
	uint64_t term;
	uint64_t number;
	char item[64];
	char data[160];
};

/* What one connection to a database has. */
struct connection {
	int fd;
	int db;
	int64_t opened_at;
	char team[32];
	char state;
	bool read_only;
	size_t snapshot;
	int n_writes;
	struct entry writes[16];
	int n_prepared;
	struct {
		char name[64];
		bool writes;
	} prepared[128];
	bool ran; /* a statement of the open transaction has arrived */
};

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
struct database databases[DATABASES_MAX];
int n_databases;
struct vm vms[VMS_MAX];
int n_vms;
struct arrival *arrivals;
int n_arrivals;
FILE *record_file;
const char *service_name = "quotes";
char store_address[64];

static struct object objects[OBJECTS_MAX];
static int n_objects;
static struct event events[EVENTS_MAX];
static int n_events;
static uint64_t revision = 100;
static struct entry commits[LOG_MAX];
static size_t n_commits;
static uint64_t newest_term = 1;
static int64_t started_at;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int ms)
{
	struct timespec t = { .tv_sec = ms / 1000,
			      .tv_nsec = (long)(ms % 1000) * 1000000 };

	nanosleep(&t, NULL);
}

static void write_line(int64_t at, const char *fmt, va_list ap)
{
	static pthread_mutex_t write_lock = PTHREAD_MUTEX_INITIALIZER;
	char text[1024];
	int i;

	vsnprintf(text, sizeof(text), fmt, ap);
	for (i = 0; text[i]; i++)
		if (text[i] == '\n')
			text[i] = '~';
	pthread_mutex_lock(&write_lock);
	fprintf(record_file, "%8.3f %s\n", (double)(at - started_at) / 1000,
		text);
	fflush(record_file);
	pthread_mutex_unlock(&write_lock);
}

void note(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(now_ms(), fmt, ap);
	va_end(ap);
}

void note_at(int64_t at, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(at, fmt, ap);
	va_end(ap);
}

void note_arrivals(void)
{
	int i;

	note("what arrived at the databases, ~ for LF:");
	pthread_mutex_lock(&lock);
	for (i = 0; i < n_arrivals; i++)
		note_at(arrivals[i].at, "ran at %s for %s: id %s, %s",
			databases[arrivals[i].db].id, arrivals[i].team,
			arrivals[i].id, arrivals[i].text);
	pthread_mutex_unlock(&lock);
}

static void start_thread(void *(*fn)(void *), void *ctx)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 1 << 20);
	if (pthread_create(&t, &attr, fn, ctx) != 0)
		exit(2);
	pthread_attr_destroy(&attr);
}

/*
 * The loopback address of this run, in 127.0.0.0/8: two scripts that run at the
 * same time don't take each other's ports.
 */
static const char *own_address(void)
{
	static char text[32];
	int n = (int)getpid();

	if (!text[0])
		snprintf(text, sizeof(text), "127.%d.%d.1", 10 + n % 200,
			 1 + n / 200 % 250);
	return text;
}

/* Listens on a free port of the loopback address. */
static int listen_any(int *port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	at.sin_addr.s_addr = inet_addr(own_address());
	if (fd == -1 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, 256) || getsockname(fd, (struct sockaddr *)&at, &len))
		exit(2);
	*port = ntohs(at.sin_port);
	return fd;
}

static bool write_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* ---- The store ---- */

static struct object *find_object(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < n_objects; i++)
		if (!strcmp(objects[i].kind, kind) &&
		    !strcmp(objects[i].name, name))
			return &objects[i];
	return NULL;
}

/* The object as JSON text, malloc'd. */
static char *object_text(const struct object *o)
{
	char *out = NULL;

	if (asprintf(&out,
		     "{\"meta\":{\"name\":\"%s\",\"revision\":%llu,"
		     "\"created\":%llu,\"finalizers\":[],\"deleting\":false},"
		     "\"spec\":%s,\"status\":null}",
		     o->name, (unsigned long long)o->revision,
		     (unsigned long long)o->created, o->spec) == -1)
		exit(2);
	return out;
}

static void add_event(const struct object *o, bool deleted)
{
	char *text = object_text(o);
	struct event *e = &events[n_events];

	if (n_events == EVENTS_MAX)
		exit(2);
	e->revision = revision;
	snprintf(e->kind, sizeof(e->kind), "%s", o->kind);
	if (asprintf(&e->text, "{\"deleted\":%s,\"object\":%s}",
		     deleted ? "true" : "false", text) == -1)
		exit(2);
	free(text);
	n_events++;
	pthread_cond_broadcast(&changed);
}

/* Creates or replaces an object; the lock is held. */
static struct object *set_object(const char *kind, const char *name,
				 const char *spec)
{
	struct object *o = find_object(kind, name);

	if (o && !strcmp(o->spec, spec))
		return o;
	revision++;
	if (!o) {
		if (n_objects == OBJECTS_MAX)
			exit(2);
		o = &objects[n_objects++];
		snprintf(o->kind, sizeof(o->kind), "%s", kind);
		snprintf(o->name, sizeof(o->name), "%s", name);
		o->created = revision;
		o->spec = NULL;
	}
	free(o->spec);
	o->spec = strdup(spec);
	o->revision = revision;
	add_event(o, false);
	return o;
}

static void remove_object(const char *kind, const char *name)
{
	struct object *o = find_object(kind, name);

	if (!o)
		return;
	revision++;
	o->revision = revision;
	add_event(o, true);
	free(o->spec);
	*o = objects[--n_objects];
}

int64_t put_object(const char *kind, const char *name, const char *spec)
{
	int64_t at;

	pthread_mutex_lock(&lock);
	set_object(kind, name, spec);
	at = now_ms();
	pthread_mutex_unlock(&lock);
	return at;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(struct object *const *)a)->name,
		      (*(struct object *const *)b)->name);
}

struct text {
	char *data;
	size_t len;
};

static void append(struct text *t, const char *s)
{
	size_t n = strlen(s);

	t->data = realloc(t->data, t->len + n + 1);
	if (!t->data)
		exit(2);
	memcpy(t->data + t->len, s, n + 1);
	t->len += n;
}

static char *list_reply(const char *kind, const char *after)
{
	static struct object *found[OBJECTS_MAX];
	struct text t = { 0 };
	char tail[96];
	int n = 0, i, sent = 0;
	bool more = false;

	for (i = 0; i < n_objects; i++)
		if (!strcmp(objects[i].kind, kind) &&
		    strcmp(objects[i].name, after) > 0)
			found[n++] = &objects[i];
	qsort(found, (size_t)n, sizeof(found[0]), by_name);
	append(&t, "{\"items\":[");
	for (i = 0; i < n; i++) {
		char *o;

		if (sent == PAGE) {
			more = true;
			break;
		}
		o = object_text(found[i]);
		if (sent++)
			append(&t, ",");
		append(&t, o);
		free(o);
	}
	snprintf(tail, sizeof(tail), "],\"more\":%s,\"currentRev\":%llu}",
		 more ? "true" : "false", (unsigned long long)revision);
	append(&t, tail);
	return t.data;
}

static char *watch_reply(const char *kind, uint64_t after, int wait_ms)
{
	int64_t until = now_ms() + wait_ms;
	struct text t = { 0 };
	char tail[96];
	int sent = 0, i;

	for (;;) {
		struct timespec ts;

		for (i = 0; i < n_events; i++)
			if (events[i].revision > after &&
			    !strcmp(events[i].kind, kind))
				break;
		if (i < n_events || now_ms() >= until)
			break;
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 50 * 1000000L;
		if (ts.tv_nsec >= 1000000000L) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000L;
		}
		pthread_cond_timedwait(&changed, &lock, &ts);
	}
	append(&t, "{\"events\":[");
	for (i = 0; i < n_events; i++) {
		if (events[i].revision <= after ||
		    strcmp(events[i].kind, kind) != 0)
			continue;
		if (sent++)
			append(&t, ",");
		append(&t, events[i].text);
	}
	snprintf(tail, sizeof(tail), "],\"currentRev\":%llu}",
		 (unsigned long long)revision);
	append(&t, tail);
	return t.data;
}

/* Value of a query's field, decoded by nothing; "" if it is absent. */
static void field_of(const char *query, const char *name, char *out,
		     size_t size)
{
	size_t n = strlen(name);
	const char *p = query;

	out[0] = '\0';
	while (p && *p) {
		if (!strncmp(p, name, n) && p[n] == '=') {
			snprintf(out, size, "%.*s",
				 (int)strcspn(p + n + 1, "&"), p + n + 1);
			return;
		}
		p = strchr(p, '&');
		p = p ? p + 1 : NULL;
	}
}

/* Takes a promotion; it has its effect at once. */
static int promote(const char *id)
{
	int i, to = -1;

	for (i = 0; i < n_databases; i++)
		if (!strcmp(databases[i].id, id) && databases[i].running)
			to = i;
	if (to < 0)
		return 409;
	if (databases[to].primary)
		return 200;
	newest_term++;
	for (i = 0; i < n_databases; i++) {
		databases[i].primary = i == to;
		databases[i].held = 0;
		databases[i].term = newest_term;
	}
	note("promoted %s term %llu", id, (unsigned long long)newest_term);
	return 200;
}

static char *serve_object(const char *method, char *path, const char *body,
			  int *status)
{
	char *query = strchr(path, '?');
	char after[160], value[32], kind[64], *name, *text = NULL;
	json_t *root = NULL;
	struct object *o;
	uint64_t want;

	if (query)
		*query++ = '\0';
	snprintf(kind, sizeof(kind), "%.*s", (int)strcspn(path, "/"), path);
	name = strchr(path, '/');
	if (name)
		name++;
	*status = 200;
	if (!strcmp(method, "GET") && !name) {
		field_of(query, "watch", value, sizeof(value));
		if (value[0]) {
			want = strtoull(value, NULL, 10);
			field_of(query, "waitMs", value, sizeof(value));
			return watch_reply(kind, want, atoi(value));
		}
		field_of(query, "after", after, sizeof(after));
		return list_reply(kind, after);
	}
	if (!strcmp(method, "GET")) {
		o = find_object(kind, name);
		if (o)
			return object_text(o);
		*status = 404;
		return strdup("{}");
	}
	if (!strcmp(method, "DELETE") && name) {
		remove_object(kind, name);
		return strdup("{}");
	}
	root = json_loads(body, 0, NULL);
	text = json_dumps(json_object_get(root, "spec"), JSON_COMPACT);
	want = (uint64_t)json_integer_value(json_object_get(
		json_object_get(root, "meta"), "revision"));
	if (!name)
		snprintf(after, sizeof(after), "%s",
			 json_string_value(json_object_get(
				 json_object_get(root, "meta"), "name")) ?
				 json_string_value(json_object_get(
					 json_object_get(root, "meta"),
					 "name")) :
				 "");
	else
		snprintf(after, sizeof(after), "%s", name);
	json_decref(root);
	o = find_object(kind, after);
	if (!text || !after[0]) {
		*status = 400;
	} else if (!strcmp(method, "POST") ? o != NULL :
					     o && want && want != o->revision) {
		*status = 409;
	} else if (!strcmp(method, "PUT") && !o) {
		*status = 404;
	} else {
		o = set_object(kind, after, text);
	}
	free(text);
	return o ? object_text(o) : strdup("{}");
}

/* Serves the HTTP requests of one connection. */
static void *serve_store(void *ctx)
{
	int fd = (int)(intptr_t)ctx;
	size_t size = 1 << 16, len = 0;
	char *buf = malloc(size);
	const int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (buf) {
		char *end = NULL, *p, method[16], path[512], *reply;
		size_t head, body_len = 0;
		char line[256], *body;
		int status = 200;

		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end) {
			head = (size_t)(end - buf) + 4;
			p = strcasestr(buf, "\ncontent-length:");
			if (p && p < end)
				body_len = strtoul(p + 16, NULL, 10);
		}
		if (!end || len < head + body_len) {
			ssize_t n;

			if (len + 4096 > size) {
				size *= 2;
				buf = realloc(buf, size);
				if (!buf)
					break;
			}
			n = recv(fd, buf + len, size - len - 1, 0);
			if (n <= 0)
				break;
			len += (size_t)n;
			continue;
		}
		body = strndup(buf + head, body_len);
		if (sscanf(buf, "%15s %511s", method, path) != 2 || !body)
			break;
		pthread_mutex_lock(&lock);
		if (!strncmp(path, "/gypsumcleat/objects/", 21)) {
			reply = serve_object(method, path + 21, body, &status);
		} else if (!strcmp(path, "/promote")) {
			json_t *o = json_loads(body, 0, NULL);
			const char *id = json_string_value(
				json_object_get(o, "id"));

			status = promote(id ? id : "");
			json_decref(o);
			reply = strdup("{}");
		} else {
			status = 404;
			reply = strdup("{}");
		}
		pthread_mutex_unlock(&lock);
		free(body);
		snprintf(line, sizeof(line),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
			 status, ERA, strlen(reply));
		if (!write_all(fd, line, strlen(line)) ||
		    !write_all(fd, reply, strlen(reply))) {
			free(reply);
			break;
		}
		free(reply);
		memmove(buf, buf + head + body_len, len - head - body_len);
		len -= head + body_len;
	}
	free(buf);
	close(fd);
	return NULL;
}

static void *accept_store(void *ctx)
{
	int listener = (int)(intptr_t)ctx;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			start_thread(serve_store, (void *)(intptr_t)fd);
	}
	return NULL;
}

/* ---- The databases ---- */

static void register_database(int db)
{
	struct database *d = &databases[db];
	char spec[512];

	d->sequence++;
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":5,"
		 "\"state\":\"%s\",\"coldLeftMs\":0,\"dbRole\":\"%s\","
		 "\"sequence\":%llu,\"born\":1700000000000}",
		 service_name, own_address(), d->port, d->zone,
		 d->draining ? "draining" : "ready",
		 d->primary ? "primary" : "replica",
		 (unsigned long long)d->sequence);
	set_object("servers", d->id, spec);
}

/* Each database checks in; the entry of a dead one lapses after three. */
static void *check_in(void *ctx)
{
	(void)ctx;
	for (;;) {
		int i;

		pthread_mutex_lock(&lock);
		for (i = 0; i < n_databases; i++) {
			if (databases[i].running)
				register_database(i);
			else if (now_ms() - databases[i].killed_at >
				 3 * HEARTBEAT_MS)
				remove_object("servers", databases[i].id);
		}
		pthread_mutex_unlock(&lock);
		sleep_ms(HEARTBEAT_MS);
	}
	return NULL;
}

int64_t database_drains(int db)
{
	int64_t at;

	pthread_mutex_lock(&lock);
	databases[db].draining = true;
	register_database(db);
	at = now_ms();
	databases[db].drain_acked_at = at;
	pthread_mutex_unlock(&lock);
	return at;
}

void database_crashes(int db)
{
	pthread_mutex_lock(&lock);
	databases[db].running = false;
	databases[db].killed_at = now_ms();
	shutdown(databases[db].listener, SHUT_RDWR);
	close(databases[db].listener);
	pthread_mutex_unlock(&lock);
}

static void send_line(struct connection *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static void send_line(struct connection *c, const char *fmt, ...)
{
	char line[1024];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line) - 2, fmt, ap);
	va_end(ap);
	memcpy(line + n, "\r\n", 2);
	(void)write_all(c->fd, line, (size_t)n + 2);
}

static void send_ready(struct connection *c)
{
	const struct entry *last = n_commits ? &commits[n_commits - 1] : NULL;

	if (last)
		send_line(c, "READY %c %llu.%llu", c->state,
			  (unsigned long long)last->term,
			  (unsigned long long)last->number);
	else
		send_line(c, "READY %c %llu.0", c->state,
			  (unsigned long long)newest_term);
}

static void refuse(struct connection *c, const char *code)
{
	if (c->state == 'T')
		c->state = 'E';
	send_line(c, "ERROR %s %s", code, databases[c->db].id);
	send_ready(c);
}

static void complete(struct connection *c, const char *id)
{
	send_line(c, "COMPLETE mac.%s.%s", databases[c->db].id, id);
	send_ready(c);
}

static void commit_one(const char *item, const char *data)
{
	struct entry *e = &commits[n_commits];

	if (n_commits == LOG_MAX)
		exit(2);
	e->term = newest_term;
	e->number = n_commits ? commits[n_commits - 1].number + 1 : 1;
	snprintf(e->item, sizeof(e->item), "%s", item);
	snprintf(e->data, sizeof(e->data), "%s", data);
	n_commits++;
}

static void do_read(struct connection *c, const char *id, const char *item)
{
	size_t i = c->state == 'T' && c->read_only ? c->snapshot : n_commits;
	int w;

	for (w = c->n_writes - 1; w >= 0; w--)
		if (!strcmp(c->writes[w].item, item)) {
			send_line(c, "ROW %s", c->writes[w].data);
			complete(c, id);
			return;
		}
	while (i > 0 && strcmp(commits[i - 1].item, item) != 0)
		i--;
	if (i > 0)
		send_line(c, "ROW %s", commits[i - 1].data);
	complete(c, id);
}

static void do_write(struct connection *c, const char *id, const char *item,
		     const char *data)
{
	if (!databases[c->db].primary || c->read_only) {
		refuse(c, "READONLY");
		return;
	}
	if (c->state == 'T') {
		struct entry *e = &c->writes[c->n_writes++ % 16];

		snprintf(e->item, sizeof(e->item), "%s", item);
		snprintf(e->data, sizeof(e->data), "%s", data);
	} else {
		commit_one(item, data);
	}
	complete(c, id);
}

static void report_status(struct connection *c)
{
	const struct database *d = &databases[c->db];
	const struct entry *last = n_commits ? &commits[n_commits - 1] : NULL;

	send_line(c, "ROW %s %llu %llu.%llu %llu 0 0 %u",
		  d->primary ? "primary" : "replica",
		  (unsigned long long)d->term,
		  (unsigned long long)(last ? last->term : newest_term),
		  (unsigned long long)(last ? last->number : 0),
		  (unsigned long long)d->held, d->connections);
	send_line(c, "COMPLETE -");
	send_ready(c);
}

static void note_arrival(struct connection *c, const char *id, const char *text)
{
	struct arrival *a;

	if (!strcmp(id, "-"))
		return;
	if (n_arrivals == ARRIVALS_MAX)
		exit(2);
	a = &arrivals[n_arrivals++];
	a->at = now_ms();
	a->db = c->db;
	snprintf(a->team, sizeof(a->team), "%s", c->team);
	snprintf(a->id, sizeof(a->id), "%s", id);
	snprintf(a->text, sizeof(a->text), "%s", text);
	a->in_tx = c->state == 'T' && c->ran;
	if (c->state == 'T')
		c->ran = true;
}

static void end_transaction(struct connection *c)
{
	c->state = 'I';
	c->n_writes = 0;
	c->read_only = false;
	c->ran = false;
}

/* Executes a statement or a request of the proxy; the lock is held. */
static void run_query(struct connection *c, char *id, char *text)
{
	struct database *d = &databases[c->db];
	unsigned long long term = 0, number = 0;
	char word[32] = "", a[128] = "", b[160] = "", e[160] = "";
	int i, used = 0;

	note_arrival(c, id, text);
	if (sscanf(text, "AFTER %llu.%llu %n", &term, &number, &used) == 2) {
		text += used;
		if (n_commits ? commits[n_commits - 1].number < number :
				number > 0) {
			refuse(c, "LAGGING");
			return;
		}
	}
	sscanf(text, "%31s %127s %159s %159s", word, a, b, e);
	if (!strcmp(word, "STATUS")) {
		report_status(c);
	} else if (!strcmp(word, "PAUSE")) {
		if (!d->primary && strtoull(a, NULL, 10) > d->term)
			d->held = strtoull(a, NULL, 10);
		report_status(c);
	} else if (!strcmp(word, "RESUME")) {
		d->held = 0;
		report_status(c);
	} else if (!strcmp(word, "STEPDOWN")) {
		if (d->primary && strtoull(a, NULL, 10) > d->term)
			d->primary = false;
		report_status(c);
	} else if (c->state == 'E' && strcmp(word, "ROLLBACK") != 0 &&
		   strcmp(word, "COMMIT") != 0) {
		send_line(c, "ERROR MALFORMED failed");
		send_ready(c);
	} else if (!strcmp(word, "BEGIN")) {
		c->read_only = !strcmp(a, "READ");
		if (!c->read_only && !d->primary) {
			refuse(c, "READONLY");
			return;
		}
		c->state = 'T';
		c->ran = false;
		c->snapshot = n_commits;
		send_line(c, "COMPLETE -");
		send_ready(c);
	} else if (!strcmp(word, "COMMIT")) {
		if (c->state == 'E') {
			end_transaction(c);
			refuse(c, "ABORTED");
			return;
		}
		for (i = 0; i < c->n_writes; i++)
			commit_one(c->writes[i].item, c->writes[i].data);
		end_transaction(c);
		complete(c, id);
	} else if (!strcmp(word, "ROLLBACK")) {
		end_transaction(c);
		send_line(c, "COMPLETE -");
		send_ready(c);
	} else if (!strcmp(word, "READ")) {
		do_read(c, id, a);
	} else if (!strcmp(word, "WRITE")) {
		do_write(c, id, a, b);
	} else if (!strcmp(word, "PREPARE")) {
		i = c->n_prepared++ % 128;
		snprintf(c->prepared[i].name, 64, "%.63s", a);
		c->prepared[i].writes = !strcmp(b, "WRITE");
		send_line(c, "COMPLETE -");
		send_ready(c);
	} else if (!strcmp(word, "EXECUTE")) {
		for (i = 0; i < c->n_prepared && i < 128; i++)
			if (!strcmp(c->prepared[i].name, a))
				break;
		if (i == c->n_prepared || i == 128)
			refuse(c, "NOSTMT");
		else if (c->prepared[i].writes)
			do_write(c, id, b, e);
		else
			do_read(c, id, b);
	} else if (!strcmp(word, "SET") || !strcmp(word, "CLOSE") ||
		   !strcmp(word, "RESET")) {
		if (!strcmp(word, "RESET"))
			c->n_prepared = 0;
		send_line(c, "COMPLETE -");
		send_ready(c);
	} else {
		send_line(c, "ERROR MALFORMED %s", word);
		send_ready(c);
	}
}

/* Handles one line; false ends the connection. The lock is held. */
static bool on_db_line(struct connection *c, char *line)
{
	char *id, *text;

	if (!databases[c->db].running ||
	    c->opened_at < databases[c->db].killed_at)
		return false;
	if (!strncmp(line, "START ", 6)) {
		char service[64] = "", team[32] = "", want[64] = "";

		sscanf(line, "START %63s %31s %63s", service, team, want);
		if (strcmp(service, service_name) ||
		    (want[0] && strcmp(want, databases[c->db].id))) {
			send_line(c, "ERROR WRONGNODE %s",
				  databases[c->db].id);
			return false;
		}
		snprintf(c->team, sizeof(c->team), "%s", team);
		send_ready(c);
		return true;
	}
	if (strncmp(line, "QUERY ", 6) != 0)
		return false;
	id = line + 6;
	text = strchr(id, ' ');
	if (!text)
		return false;
	*text++ = '\0';
	run_query(c, id, text);
	return true;
}

static void *serve_database(void *ctx)
{
	struct connection *c = ctx;
	size_t len = 0, size = 1 << 21;
	char *buf = malloc(size);
	const int on = 1;
	bool alive = buf != NULL;

	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (alive) {
		char *end = len ? memmem(buf, len, "\r\n", 2) : NULL;
		ssize_t n;

		if (end) {
			size_t used = (size_t)(end - buf) + 2;

			*end = '\0';
			pthread_mutex_lock(&lock);
			alive = on_db_line(c, buf);
			pthread_mutex_unlock(&lock);
			memmove(buf, buf + used, len - used);
			len -= used;
			continue;
		}
		if (len + 1 >= size)
			break;
		{
			struct pollfd p = { .fd = c->fd, .events = POLLIN };

			if (poll(&p, 1, 100) == 0) {
				pthread_mutex_lock(&lock);
				alive = databases[c->db].running;
				pthread_mutex_unlock(&lock);
				continue;
			}
		}
		n = recv(c->fd, buf + len, size - len - 1, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	pthread_mutex_lock(&lock);
	databases[c->db].connections--;
	pthread_mutex_unlock(&lock);
	close(c->fd);
	free(buf);
	free(c);
	return NULL;
}

static void *accept_database(void *ctx)
{
	int db = (int)(intptr_t)ctx;

	for (;;) {
		int fd = accept4(databases[db].listener, NULL, NULL,
				 SOCK_CLOEXEC);
		struct connection *c;

		if (fd < 0)
			return NULL;
		c = calloc(1, sizeof(*c));
		if (!c)
			exit(2);
		c->fd = fd;
		c->db = db;
		c->state = 'I';
		c->opened_at = now_ms();
		pthread_mutex_lock(&lock);
		databases[db].connections++;
		pthread_mutex_unlock(&lock);
		start_thread(serve_database, c);
	}
	return NULL;
}

int64_t write_config(uint64_t version, const char *key)
{
	char spec[2048];

	snprintf(spec, sizeof(spec),
		 "{\"version\":%llu,\"routes\":["
		 "{\"name\":\"r1\",\"host\":\"p-db\",\"kind\":\"primary\","
		 "\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,"
		 "\"service\":\"%s\",\"maxAttempts\":2,\"public\":false},"
		 "{\"name\":\"r2\",\"host\":\"b-db\","
		 "\"kind\":\"bounded_staleness\",\"timeoutMs\":3000,"
		 "\"targetLatencyMs\":800,\"priority\":2,\"service\":\"%s\","
		 "\"maxAttempts\":2,\"maxStalenessMs\":1500,\"public\":false},"
		 "{\"name\":\"r3\",\"host\":\"s-db\","
		 "\"kind\":\"read_your_writes\",\"timeoutMs\":1000,"
		 "\"targetLatencyMs\":400,\"priority\":2,\"service\":\"%s\","
		 "\"maxAttempts\":2,\"maxStalenessMs\":2500,\"public\":false}],"
		 "\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\","
		 "\"maxConns\":34,\"protocol\":\"h1\",\"tls\":false,"
		 "\"syncReplicas\":0}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
		 "\"txIdleMs\":3000},"
		 "\"tenants\":[{\"name\":\"tenant1\",\"apiKeys\":[\"%s\"],"
		 "\"priority\":1,\"ratePerS\":400,\"burst\":400}]}",
		 (unsigned long long)version, service_name, service_name,
		 service_name, service_name, key);
	return put_object("config", "main", spec);
}

/* Leaves no VM behind if the script is ended. */
static void on_ended(int sig)
{
	int i;

	(void)sig;
	for (i = 0; i < n_vms; i++)
		if (vms[i].pid > 0)
			kill(vms[i].pid, SIGKILL);
	_exit(2);
}

void world_start(int n, const char *const *zones)
{
	int port, fd, i;

	signal(SIGTERM, on_ended);
	signal(SIGINT, on_ended);
	atexit(vms_kill_all);

	started_at = now_ms();
	arrivals = calloc(ARRIVALS_MAX, sizeof(*arrivals));
	if (!arrivals)
		exit(2);
	signal(SIGPIPE, SIG_IGN);
	fd = listen_any(&port);
	snprintf(store_address, sizeof(store_address), "%s:%d", own_address(),
		 port);
	start_thread(accept_store, (void *)(intptr_t)fd);
	for (i = 0; i < n; i++) {
		struct database *d = &databases[i];

		snprintf(d->id, sizeof(d->id), "i-%08x", 0x7f3a91c0 + i);
		snprintf(d->zone, sizeof(d->zone), "%s", zones[i]);
		d->listener = listen_any(&d->port);
		d->running = true;
		d->primary = i == 0;
		d->term = 1;
		n_databases++;
		start_thread(accept_database, (void *)(intptr_t)i);
	}
	start_thread(check_in, NULL);
	write_config(7, "key-1");
}

/* ---- The VMs under test ---- */

/* Reads the address that the VM prints for a purpose. */
static bool read_address(const char *path, const char *purpose, char *out,
			 size_t size)
{
	char line[4096], at[32], word[32];
	FILE *f = fopen(path, "r");
	bool found = false;

	while (f && !found && fgets(line, sizeof(line), f))
		if (sscanf(line, "ready %31s %31s", at, word) == 2 &&
		    !strcmp(word, purpose)) {
			snprintf(out, size, "%s", at);
			found = true;
		}
	if (f)
		fclose(f);
	return found;
}

/* Returns a port that is free for TCP and UDP now. */
static int free_port(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd, udp, port, i;

	at.sin_addr.s_addr = inet_addr(own_address());
	for (i = 0; i < 50; i++) {
		fd = listen_any(&port);
		udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		at.sin_port = htons((uint16_t)port);
		if (udp >= 0 &&
		    bind(udp, (struct sockaddr *)&at, sizeof(at)) == 0) {
			close(udp);
			close(fd);
			return port;
		}
		close(udp);
		close(fd);
	}
	exit(2);
}

bool vm_start(int vm, const char *name, const char *zone)
{
	const char *dir = getenv("CASE_TMP");
	static int starts;
	struct vm *v = &vms[vm];
	char settings[300];
	int i, out;
	FILE *f;

	snprintf(v->name, sizeof(v->name), "%s", name);
	snprintf(v->zone, sizeof(v->zone), "%s", zone);
	snprintf(settings, sizeof(settings), "%s/%s.json", dir, name);
	snprintf(v->log, sizeof(v->log), "%s/%s.%d.log", dir, name, ++starts);
	for (i = 0; i < 4 && !v->ports[i]; i++)
		v->ports[i] = free_port();
	f = fopen(settings, "w");
	if (!f)
		return false;
	fprintf(f,
		"{\"form\":\"sessions\",\"vm\":\"%s\",\"domain\":\"%s\","
		"\"region\":\"kr-south\","
		"\"caller_listen\":\"%s:%d\","
		"\"ready_listen\":\"%s:%d\","
		"\"peer_listen\":\"%s:%d\","
		"\"metrics_listen\":\"%s:%d\",\"platform\":\"%s\","
		"\"promotion\":\"%s\",\"grace_s\":6,"
		"\"domains\":{\"kr-south-a\":\"kr-south\","
		"\"kr-south-b\":\"kr-south\",\"kr-south-c\":\"kr-south\"},"
		"\"cpu_share\":0.25,\"platform_timeout_ms\":1500,"
		"\"timeline_events\":1024}\n",
		name, zone, own_address(), v->ports[0], own_address(),
		v->ports[1], own_address(), v->ports[2], own_address(),
		v->ports[3], store_address, store_address);
	fclose(f);
	out = open(v->log, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	if (out < 0)
		return false;
	if (vm >= n_vms)
		n_vms = vm + 1;
	v->pid = fork();
	if (v->pid == 0) {
		signal(SIGTERM, SIG_DFL);
		signal(SIGINT, SIG_DFL);
		signal(SIGPIPE, SIG_DFL);
		dup2(out, 1);
		dup2(out, 2);
		setenv("GYPSUMCLEAT_CONFIG", settings, 1);
		execl(getenv("CASE_PROGRAM"), "gypsumcleat", "serve", "-f",
		      settings, (char *)NULL);
		_exit(127);
	}
	close(out);
	if (v->pid < 0) {
		v->pid = 0;
		return false;
	}
	v->in_rotation = true;
	v->misses = 0;
	note("%s started as a process in %s", name, zone);
	for (i = 0; i < 200; i++) {
		if (read_address(v->log, "callers", v->callers,
				 sizeof(v->callers)) &&
		    read_address(v->log, "probes", v->probes,
				 sizeof(v->probes)) &&
		    read_address(v->log, "metrics", settings, 32))
			return true;
		sleep_ms(25);
	}
	return false;
}

void vm_signal(int vm, int sig)
{
	if (vms[vm].pid > 0)
		kill(vms[vm].pid, sig);
	note("%s gets signal %d", vms[vm].name, sig);
}

bool vm_wait_end(int vm, int ms)
{
	int64_t until = now_ms() + ms;
	int status;

	while (vms[vm].pid > 0) {
		if (waitpid(vms[vm].pid, &status, WNOHANG) == vms[vm].pid) {
			note("%s has ended, status %d", vms[vm].name, status);
			vms[vm].pid = 0;
			return true;
		}
		if (now_ms() >= until)
			return false;
		sleep_ms(10);
	}
	return true;
}

void vms_kill_all(void)
{
	int i;

	for (i = 0; i < n_vms; i++)
		if (vms[i].pid > 0)
			kill(vms[i].pid, SIGKILL);
	for (i = 0; i < n_vms; i++)
		if (vms[i].pid > 0) {
			waitpid(vms[i].pid, NULL, 0);
			vms[i].pid = 0;
		}
}

static int connect_to(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || !colon)
		return -1;
	to.sin_addr.s_addr = inet_addr(own_address());
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

bool vm_probe(int vm)
{
	static const char text[] = "GET /gypsumcleat/ready HTTP/1.1\r\n"
				   "Host: vm\r\nConnection: close\r\n\r\n";
	struct timeval limit = { .tv_sec = 1 };
	char buf[256] = "";
	int fd;
	ssize_t n;

	if (vms[vm].pid <= 0)
		return false;
	fd = connect_to(vms[vm].probes);
	if (fd < 0)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	write_all(fd, text, sizeof(text) - 1);
	n = recv(fd, buf, sizeof(buf) - 1, 0);
	close(fd);
	return n > 12 && !strncmp(buf + 9, "200", 3);
}

bool vm_wait_ready(int vm, int ms)
{
	int64_t until = now_ms() + ms;

	do {
		if (vm_probe(vm))
			return true;
		sleep_ms(50);
	} while (now_ms() < until);
	return false;
}

static void *balance(void *ctx)
{
	(void)ctx;
	for (;;) {
		int64_t next = now_ms() + 1000;
		int i;

		for (i = 0; i < n_vms; i++) {
			bool ok = vm_probe(i);

			vms[i].misses = ok ? 0 : vms[i].misses + 1;
			if (ok)
				vms[i].in_rotation = true;
			else if (vms[i].misses >= 2)
				vms[i].in_rotation = false;
		}
		if (next > now_ms())
			sleep_ms((int)(next - now_ms()));
	}
	return NULL;
}

void balancer_start(void)
{
	start_thread(balance, NULL);
}

int balancer_pick(const char *zone, unsigned int attempt)
{
	int near[VMS_MAX], n = 0, in = 0, all = 0, i;
	bool any;

	for (i = 0; i < n_vms; i++) {
		if (vms[i].pid <= 0 || strcmp(vms[i].zone, zone) != 0)
			continue;
		all++;
		in += vms[i].in_rotation;
	}
	any = 2 * in < all;
	for (i = 0; i < n_vms; i++)
		if (vms[i].pid > 0 && !strcmp(vms[i].zone, zone) &&
		    (any || vms[i].in_rotation))
			near[n++] = i;
	/* Retries reach other nodes; so do callers of a zone without any. */
	if (n == 0 || attempt > 0) {
		n = 0;
		for (i = 0; i < n_vms; i++)
			if (vms[i].pid > 0)
				near[n++] = i;
	}
	return n ? near[attempt % (unsigned int)n] : -1;
}

/* ---- Callers ---- */

bool caller_open(struct caller *c, const char *address, const char *db,
		 const char *key, int ms)
{
	const int on = 1;
	char line[256];

	memset(c, 0, sizeof(*c));
	c->fd = connect_to(address);
	if (c->fd < 0)
		return false;
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	snprintf(line, sizeof(line), "START %s %s\r\n", db, key);
	if (caller_send(c, line, strlen(line)) && caller_reply(c, ms) &&
	    c->state == 'I')
		return true;
	caller_close(c);
	return false;
}

void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

bool caller_send(struct caller *c, const void *data, size_t len)
{
	return c->fd >= 0 && write_all(c->fd, data, len);
}

bool caller_reply(struct caller *c, int ms)
{
	int64_t until = now_ms() + ms;

	c->end[0] = '\0';
	c->row[0] = '\0';
	c->rows = 0;
	c->state = 0;
	while (c->fd >= 0) {
		char *end = c->len ? memmem(c->buf, c->len, "\r\n", 2) : NULL;
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		int64_t left = until - now_ms();
		ssize_t n;

		if (end) {
			size_t used = (size_t)(end - c->buf) + 2;
			char state = 0;

			*end = '\0';
			if (!strncmp(c->buf, "ROW ", 4)) {
				c->rows++;
				snprintf(c->row, sizeof(c->row), "%s",
					 c->buf + 4);
			} else if (!strncmp(c->buf, "READY ", 6)) {
				state = c->buf[6];
			} else {
				snprintf(c->end, sizeof(c->end), "%.255s",
					 c->buf);
			}
			memmove(c->buf, c->buf + used, c->len - used);
			c->len -= used;
			if (state) {
				c->state = state;
				return true;
			}
			continue;
		}
		if (left <= 0 || poll(&p, 1, (int)left) <= 0) {
			snprintf(c->end, sizeof(c->end), "NO ANSWER");
			return false;
		}
		n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - c->len, 0);
		if (n <= 0) {
			if (!c->end[0])
				snprintf(c->end, sizeof(c->end), "CLOSED");
			return false;
		}
		c->len += (size_t)n;
	}
	return false;
}

bool caller_query(struct caller *c, const char *id, const char *text, int ms)
{
	char line[1024];

	snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);
	return caller_send(c, line, strlen(line)) && caller_reply(c, ms);
}

bool caller_done(const struct caller *c, const char *id)
{
	const char *dot = strrchr(c->end, '.');

	return !strncmp(c->end, "COMPLETE mac.", 13) && dot &&
	       !strcmp(dot + 1, id);
}
