#ifndef KERNEL_LOG_H
#define KERNEL_LOG_H

#include <stdio.h>

#include "decide/error.h"

enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG,
};

/*
 * Numbered events. docs/EVENTS.md is their catalogue; a test compares the two.
 * Number ranges: 1xxx VM, 2xxx callers, 3xxx databases, 4xxx promotion,
 * 5xxx teams and limits, 6xxx configuration and platform, 7xxx peers.
 */
#define EVENT_TABLE(X)                                                      \
	X(1001, VM_START, INFO, "VM starts")                                \
	X(1002, VM_READY, INFO, "VM serves callers")                        \
	X(1003, VM_DRAIN, INFO, "drain begins")                             \
	X(1004, VM_STOP, INFO, "VM stops")                                  \
	X(1005, VM_FAIL, ERROR, "VM cannot start")                          \
	X(1006, LOG_DROPPED, WARN, "log lines were left out")               \
	X(1007, VM_SUSPENDED, WARN, "VM did not run for a while")           \
	X(2001, CALLER_REFUSED, DEBUG, "request refused")                   \
	X(2002, CALLER_UNKNOWN, WARN, "outcome of a request unknown")       \
	X(2003, STATEMENT_DONE, INFO, "statement answered")                 \
	X(2004, STATEMENT_REFUSED, INFO, "statement refused or failed")     \
	X(2005, STATEMENT_AGAIN, INFO, "statement tried elsewhere")         \
	X(2006, TRANSACTION_IDLE, INFO, "idle transaction ended")           \
	X(2007, TRANSACTION_LOST, WARN, "transaction lost its connection")  \
	X(2008, STATEMENT_SERVED, INFO, "statement of another VM executed") \
	X(2009, STATEMENT_RETURNED, INFO, "statement given back to its VM") \
	X(2010, SESSION_REFUSED, INFO, "session refused by configuration")  \
	X(2011, TRANSACTION_ENDED, INFO, "transaction ended, evacuation")   \
	X(3001, DB_LOST, WARN, "database does not answer")                  \
	X(3002, DB_BACK, INFO, "database answers again")                    \
	X(3003, DB_SUSPECT, WARN, "connection closed after overdue reply")  \
	X(3004, DB_JOINED, INFO, "database registered")                     \
	X(3005, DB_LEFT, INFO, "database left the registry")                \
	X(3006, DB_DEPARTS, INFO, "database departs, or no longer does")    \
	X(3007, BACKEND_OPENED, INFO, "connection to a database opened")    \
	X(3008, BACKEND_CLOSED, INFO, "connection to a database closed")    \
	X(3009, DB_EVACUATED, INFO, "database evacuated, or no longer")     \
	X(3010, ANSWER_OVERDUE, WARN, "answer of a database is overdue")    \
	X(4001, PROMOTE_SUSPECT, WARN, "primary suspected")                 \
	X(4002, PROMOTE_CLAIM, INFO, "term claimed")                        \
	X(4003, PROMOTE_FENCE, INFO, "group fenced by majority")            \
	X(4004, PROMOTE_DONE, INFO, "database promoted")                    \
	X(4005, PROMOTE_PUBLISH, INFO, "new primary published")             \
	X(4006, PROMOTE_GIVE_UP, WARN, "promotion given up")                \
	X(4007, PROMOTE_VIEW, INFO, "new primary known")                    \
	X(4008, HANDOVER_START, INFO, "planned hand-over begins")           \
	X(4009, SUCCESSION, INFO, "change of primary moves on")             \
	X(4010, PRIMARY_PROVED, INFO, "primary proved again")               \
	X(4011, HANDOVER_HELD, WARN, "planned hand-over held back, or not") \
	X(4012, HANDOVER_DONE, INFO, "planned hand-over ended")             \
	X(4013, FAILOVER_HELD, WARN, "failover held back, or not")          \
	X(4014, REPLICA_AWAY, INFO, "replica left, or its log is covered")  \
	X(5001, ESCROW_RECOUNT, INFO, "recount of a team limit")            \
	X(5002, TEAM_REFUSED, DEBUG, "request over the team's rate")        \
	X(5003, LIMIT_ALONE, INFO, "team limit decided without its keeper") \
	X(6001, CONFIG_APPLIED, INFO, "configuration object applied")       \
	X(6002, CONFIG_REFUSED, WARN, "configuration object refused")       \
	X(6003, PLATFORM_DOWN, WARN, "platform does not answer")            \
	X(6004, PLATFORM_BACK, INFO, "platform answers again")              \
	X(6005, AUDIT, INFO, "administrative change")                       \
	X(6006, SETTINGS_RELOADED, INFO, "settings file read again")        \
	X(6007, STORE_RESTORED, WARN, "platform restored an older copy")    \
	X(6008, STORE_PAST, WARN, "reply of an earlier era")                \
	X(6009, CONFIG_UNCONFIRMED, WARN, "configuration not read lately")  \
	X(6010, CONFIG_CONFIRMED, INFO, "configuration read again")         \
	X(6011, PLATFORM_SILENT, WARN, "connection to the platform silent") \
	X(6012, EVACUATION_STARTED, WARN, "failure domain is evacuated")    \
	X(6013, EVACUATION_ENDED, WARN, "evacuation was withdrawn")         \
	X(6014, ENTRY_SKIPPED, WARN, "entry of the platform can't be used") \
	X(7001, PEER_BAD_MESSAGE, WARN, "message of a peer refused")        \
	X(7002, PEER_JOINED, INFO, "VM joined")                             \
	X(7003, PEER_GONE, WARN, "VM gone")                                 \
	X(7004, LINK_CLOSED, INFO, "connection between VMs closed")         \
	X(7005, LINK_SECOND, INFO, "second connection to a silent VM")      \
	X(7006, LINK_RESUMED, INFO, "second connection took over")

enum event_id {
#define X(number, id, level, text) EV_##id = (number),
	EVENT_TABLE(X)
#undef X
};

int log_open(const char *vm, enum log_level level, struct error *e);
/*
 * Sets the output, which is standard error by default, and the maximum number
 * of lines per second; 0 is unlimited. Lines beyond the limit, and lines that
 * the reader is too slow for, are dropped and counted. Called before threads
 * start.
 */
void log_set_output(FILE *out, uint32_t lines_per_s);
void log_close(void);
/*
 * Writes an event to the log and to the timeline. "fmt" formats key=value
 * fields, which must not contain an API key, a secret or a statement parameter.
 * Events of level debug are dropped, also from the timeline, unless the log's
 * level is debug.
 */
void log_event(enum event_id ev, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_error(enum event_id ev, const struct error *err);
const char *event_text(enum event_id ev);
const char *event_name(enum event_id ev);

#endif
