#ifndef DECIDE_TYPES_H
#define DECIDE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Monotonic time in microseconds, always passed in by the caller. */
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC  ((usec_t)1000000)

#define NAME_MAX_BYTES 64 /* names of teams, services, VMs, databases */
#define ADDR_MAX_BYTES 64 /* "ip:port" */
#define DB_MAX	       7  /* databases in one group */
#define DB_NONE	       UINT32_MAX
#define HANDLE_NONE    UINT32_MAX
#define LINEAGE_MAX    8 /* terms a database reports, newest kept */

/* Small handles into the tables of a VM; never sent over a network. */
typedef uint32_t team_handle;
typedef uint32_t group_handle;

enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

enum statement_kind {
	KIND_READ,
	KIND_WRITE,
};

enum db_role {
	ROLE_REPLICA,
	ROLE_PRIMARY,
};

enum db_state {
	DB_LIVE,
	DB_DEPARTING,
};

/* A place in a group's log: the term that wrote it, and its position. */
struct log_pos {
	uint64_t term;
	uint64_t position;
};

/*
 * The terms of a log, oldest first; a term covers the positions after its
 * start up to the start of the next.
 */
struct lineage {
	uint32_t n;
	struct log_pos start[LINEAGE_MAX];
};

/* What a VM has last heard from one database. */
struct db_view {
	bool known;	     /* heard at least once */
	usec_t asked_at;     /* local time the answered question was sent */
	usec_t heard_at;     /* local time its answer arrived */
	uint64_t fence_term; /* lower terms are refused there */
	struct log_pos end;  /* last entry of its log */
	struct lineage lineage;
	uint64_t stamp_term; /* term whose primary gave the stamp */
	int64_t stamp_us;    /* primary's clock at the last replay */
	enum db_role role;
	enum db_state state;
	usec_t departing_at; /* first known as departing; 0: live */
	uint32_t running;    /* statements of this VM running there */
	uint32_t slots;	     /* statements this VM may run there */
};

/* What a VM knows of one group; index into db[] is the database's handle. */
struct group_view {
	uint64_t term;	  /* highest published term known */
	uint32_t primary; /* index, or DB_NONE */
	uint32_t n;
	struct db_view db[DB_MAX];
};

const char *outcome_name(enum outcome o);
int log_pos_cmp(struct log_pos a, struct log_pos b);
bool lineage_covers(const struct lineage *l, struct log_pos end,
		    struct log_pos want);

#endif
