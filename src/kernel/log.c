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
	int priority; /* log4c priority of the event's level */
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
static uint32_t lines_per_s_max;
/* Lines written and dropped in the current second; with __atomic. */
static int64_t current_second;
static uint32_t lines_this_second;
static uint32_t dropped_lines;

static const char *format_line(const log4c_layout_t *l,
			       const log4c_logging_event_t *ev);
static int write_line(log4c_appender_t *a, const log4c_logging_event_t *ev);
static const struct event_info *find_event(enum event_id ev);
static void write_event(const struct event_info *info, char *text);
static void replace_unprintable(char *text);
static bool within_rate(int64_t now_s);

static const log4c_layout_type_t line_layout = {
	.name = "gypsumcleat_line",
	.format = format_line,
};

static const log4c_appender_type_t stream_appender = {
	.name = "gypsumcleat_stream",
	.append = write_line,
};

/* Converts the event names, which are the identifiers, to lower case. */
__attribute__((constructor)) static void lower_event_names(void)
{
	size_t i;
	char *c;

	for (i = 0; i < EVENTS; i++) {
		for (c = events[i].name; *c; c++)
			*c = (char)tolower((unsigned char)*c);
	}
}

/*
 * Opens the log on standard error. It is configured in code, so that no log4c
 * file in a search directory changes it. Called before threads start.
 */
int log_open(const char *vm, enum log_level level, struct error *e)
{
	log4c_appender_t *out = log4c_appender_get("gypsumcleat");
	log4c_layout_t *layout = log4c_layout_get("gypsumcleat");
	log4c_category_t *c = log4c_category_get("gypsumcleat");

	if (!out || !layout || !c)
		return error_set(e, ERR_SYSTEM, STEP_NONE, NULL,
				 "log: log4c category cannot be created");
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

/*
 * Sets the output and the maximum number of lines per second; 0 is unlimited.
 */
void log_set_output(FILE *out, uint32_t lines_per_s)
{
	stream = out;
	lines_per_s_max = lines_per_s;
}

/* Closes the log. Later events only go to the timeline. */
void log_close(void)
{
	category = NULL;
	log4c_fini();
}

/*
 * Writes an event with its fields to the log and to the timeline. Events of
 * level debug are written only if the log's level is debug.
 */
void log_event(enum event_id ev, const char *fmt, ...)
{
	const struct event_info *info = find_event(ev);
	char text[LINE_BYTES];
	va_list ap;

	if (!info || (info->level == LOG_DEBUG && threshold < LOG_DEBUG))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	write_event(info, text);
}

/* Writes an error as an event with its code, step, peer and message. */
void log_error(enum event_id ev, const struct error *err)
{
	log_event(ev, "code=%s step=%s peer=%s message=\"%s\"",
		  error_code_name(err->code), step_name(err->step),
		  err->peer[0] ? err->peer : "-", err->message);
}

/* Returns the description of an event, or "unknown event". */
const char *event_text(enum event_id ev)
{
	const struct event_info *info = find_event(ev);

	return info ? info->text : "unknown event";
}

/* Returns an event's name in lower case, or "unknown". */
const char *event_name(enum event_id ev)
{
	const struct event_info *info = find_event(ev);

	return info ? info->name : "unknown";
}

/* Implements log4c's layout. The message is already a complete line. */
static const char *format_line(const log4c_layout_t *l,
			       const log4c_logging_event_t *ev)
{
	(void)l;
	return ev->evt_msg;
}

/*
 * Implements log4c's appender. Each line is one call, so that lines of
 * different threads do not mix. The line is dropped if the output is not ready;
 * a pipe that is ready accepts a whole line without blocking.
 */
static int write_line(log4c_appender_t *a, const log4c_logging_event_t *ev)
{
	FILE *out = stream ? stream : stderr;
	struct pollfd p = { .fd = fileno(out), .events = POLLOUT };

	(void)a;
	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT)) {
		__atomic_add_fetch(&dropped_lines, 1, __ATOMIC_RELAXED);
		counter_add(CTR_LOG_DROPPED, 1);
		return 0;
	}
	if (fputs(ev->evt_rendered_msg, out) < 0 || fflush(out) != 0)
		return -1;
	return 0;
}

/*
 * Counts a line; returns false if this second's limit is reached. Logs the
 * number of dropped lines when a new second begins.
 */
static bool within_rate(int64_t now_s)
{
	uint32_t n_dropped;

	if (__atomic_exchange_n(&current_second, now_s, __ATOMIC_RELAXED) !=
	    now_s) {
		__atomic_store_n(&lines_this_second, 0, __ATOMIC_RELAXED);
		n_dropped = __atomic_exchange_n(&dropped_lines, 0,
						__ATOMIC_RELAXED);
		if (n_dropped > 0)
			log_event(EV_LOG_DROPPED, "lines=%u", n_dropped);
	}
	if (lines_per_s_max == 0 ||
	    __atomic_add_fetch(&lines_this_second, 1, __ATOMIC_RELAXED) <=
		    lines_per_s_max)
		return true;
	__atomic_add_fetch(&dropped_lines, 1, __ATOMIC_RELAXED);
	counter_add(CTR_LOG_DROPPED, 1);
	return false;
}

/*
 * Returns an event's entry in the table; NULL if there is none of that number.
 */
static const struct event_info *find_event(enum event_id ev)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		if (events[i].event == ev)
			return &events[i];
	}
	return NULL;
}

/* Writes one event to the timeline and, if its level is enabled, to log4c. */
static void write_event(const struct event_info *info, char *text)
{
	struct timeval tv;
	struct tm tm;
	char timestamp[32];

	replace_unprintable(text);
	timeline_add(info->event, text);
	if (!category || info->level > threshold)
		return;
	gettimeofday(&tv, NULL);
	if (!within_rate(tv.tv_sec))
		return;
	gmtime_r(&tv.tv_sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	log4c_category_log(category, levels[info->level].priority,
			   "%s.%06ldZ %s %d %s vm=%s %s\n", timestamp,
			   (long)tv.tv_usec, levels[info->level].name,
			   (int)info->event, info->name, vm_name, text);
}

/*
 * Replaces unprintable characters, so that an event is one line of ASCII
 * whatever its fields contain.
 */
static void replace_unprintable(char *text)
{
	for (; *text; text++) {
		if (!isprint((unsigned char)*text))
			*text = '?';
	}
}
