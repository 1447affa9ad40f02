#include "kernel/log.h"

#include <ctype.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#include "kernel/counters.h"
#include "kernel/timeline.h"

#define LINE_BYTES	 512
#define EVENT_NAME_BYTES 32

struct event_info {
	enum event_id event;
	enum log_level level;
	char name[EVENT_NAME_BYTES]; /* lower case */
	const char *text;
};

static struct event_info events[] = {
#define X(number, id, lvl, about)           \
	{ .event = (enum event_id)(number), \
	  .level = LOG_##lvl,               \
	  .name = #id,                      \
	  .text = (about) },
	EVENT_TABLE(X)
#undef X
};

#define EVENTS (sizeof(events) / sizeof(events[0]))

static const struct {
	const char *name;
	int priority; /* log4c's */
} levels[] = {
	[LOG_ERROR] = { "ERROR", LOG4C_PRIORITY_ERROR },
	[LOG_WARN] = { "WARN", LOG4C_PRIORITY_WARN },
	[LOG_INFO] = { "INFO", LOG4C_PRIORITY_INFO },
	[LOG_DEBUG] = { "DEBUG", LOG4C_PRIORITY_DEBUG },
};

static log4c_category_t *category;
static enum log_level threshold = LOG_INFO;
static char vm_name[NAME_MAX_BYTES];
static FILE *stream; /* NULL: standard error */
static uint32_t most_per_s;
/* The lines of the current second, and those left out; with __atomic. */
static int64_t second;
static uint32_t written;
static uint32_t dropped;

static const char *format_line(const log4c_layout_t *l,
			       const log4c_logging_event_t *ev);
static int write_line(log4c_appender_t *a, const log4c_logging_event_t *ev);
static const struct event_info *find(enum event_id ev);
static void write_event(const struct event_info *info, char *text);
static void clean(char *text);
static bool may_write(int64_t now_s);

static const log4c_layout_type_t line_layout = {
	.name = "gypsumcleat_line",
	.format = format_line,
};

static const log4c_appender_type_t stream_appender = {
	.name = "gypsumcleat_stream",
	.append = write_line,
};

/* Event names are the identifiers in lower case. */
__attribute__((constructor)) static void lower_names(void)
{
	size_t i;
	char *c;

	for (i = 0; i < EVENTS; i++) {
		for (c = events[i].name; *c; c++)
			*c = (char)tolower((unsigned char)*c);
	}
}

/*
 * Opens the log on standard error, set up in code so that no log4c file in
 * some directory changes it. Called before threads start.
 */
int log_open(const char *vm, enum log_level level, struct error *e)
{
	log4c_appender_t *out = log4c_appender_get("gypsumcleat");
	log4c_layout_t *layout = log4c_layout_get("gypsumcleat");
	log4c_category_t *c = log4c_category_get("gypsumcleat");

	if (!out || !layout || !c)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "log: log4c gave no category");
	log4c_rc->config.reread = 0;
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_set_type(out, &stream_appender);
	log4c_appender_set_layout(out, layout);
	if (log4c_appender_open(out) == -1)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "log: standard error cannot be used");
	log4c_category_set_appender(c, out);
	log4c_category_set_additivity(c, 0);
	log4c_category_set_priority(c, levels[level].priority);
	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	threshold = level;
	category = c;
	return 0;
}

/* Sets where lines go and how many. */
void log_stream(FILE *out, uint32_t lines_per_s)
{
	stream = out;
	most_per_s = lines_per_s;
}

/* Closes the log; later events only go to the time line. */
void log_close(void)
{
	category = NULL;
	log4c_fini();
}

/*
 * Writes an event with its fields to the log and to the time line. Events of
 * level debug are made only if the log's level is debug.
 */
void log_event(enum event_id ev, const char *fmt, ...)
{
	const struct event_info *info = find(ev);
	char text[LINE_BYTES];
	va_list ap;

	if (!info || (info->level == LOG_DEBUG && threshold < LOG_DEBUG))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	write_event(info, text);
}

/* Writes an error as an event, with its code, step, peer and message. */
void log_error(enum event_id ev, const struct error *err)
{
	log_event(ev, "code=%s step=%s peer=%s message=\"%s\"",
		  error_code_name(err->code), step_name(err->step),
		  err->peer[0] ? err->peer : "-", err->message);
}

/* Returns what an event means, or "unknown event". */
const char *event_text(enum event_id ev)
{
	const struct event_info *info = find(ev);

	return info ? info->text : "unknown event";
}

/* Returns an event's name in lower case, or "unknown". */
const char *event_name(enum event_id ev)
{
	const struct event_info *info = find(ev);

	return info ? info->name : "unknown";
}

/* Log4c's layout: the message is already a whole line. */
static const char *format_line(const log4c_layout_t *l,
			       const log4c_logging_event_t *ev)
{
	(void)l;
	return ev->evt_msg;
}

/*
 * Log4c's appender: one call a line, so that lines of threads stay whole. A
 * pipe with room takes a whole line without blocking.
 */
static int write_line(log4c_appender_t *a, const log4c_logging_event_t *ev)
{
	FILE *out = stream ? stream : stderr;
	struct pollfd p = { .fd = fileno(out), .events = POLLOUT };

	(void)a;
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT)) {
		__atomic_add_fetch(&dropped, 1, __ATOMIC_RELAXED);
		counter_add(CTR_LOG_DROPPED, 1);
		return 0;
	}
	if (fputs(ev->evt_rendered_msg, out) < 0 || fflush(out) != 0)
		return -1;
	return 0;
}

/* Counts the line; false if the second has had its number. */
static bool may_write(int64_t now_s)
{
	uint32_t lost;

	if (__atomic_exchange_n(&second, now_s, __ATOMIC_RELAXED) != now_s) {
		__atomic_store_n(&written, 0, __ATOMIC_RELAXED);
		lost = __atomic_exchange_n(&dropped, 0, __ATOMIC_RELAXED);
		if (lost > 0)
			log_event(EV_LOG_DROPPED, "lines=%u", lost);
	}
	if (most_per_s == 0 ||
	    __atomic_add_fetch(&written, 1, __ATOMIC_RELAXED) <= most_per_s)
		return true;
	__atomic_add_fetch(&dropped, 1, __ATOMIC_RELAXED);
	counter_add(CTR_LOG_DROPPED, 1);
	return false;
}

/* Finds an event in the table; NULL if there is none of that number. */
static const struct event_info *find(enum event_id ev)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		if (events[i].event == ev)
			return &events[i];
	}
	return NULL;
}

/* Sends one event to the time line and, at its level, to log4c. */
static void write_event(const struct event_info *info, char *text)
{
	struct timeval tv;
	struct tm tm;
	char when[32];

	clean(text);
	timeline_add(info->event, text);
	if (!category || info->level > threshold)
		return;
	gettimeofday(&tv, NULL);
	if (!may_write(tv.tv_sec))
		return;
	gmtime_r(&tv.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	log4c_category_log(category, levels[info->level].priority,
			   "%s.%06ldZ %s %d %s vm=%s %s\n", when,
			   (long)tv.tv_usec, levels[info->level].name,
			   (int)info->event, info->name, vm_name, text);
}

/* An event is one line of ASCII whatever its fields hold. */
static void clean(char *text)
{
	for (; *text; text++) {
		if (!isprint((unsigned char)*text))
			*text = '?';
	}
}
