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
#define LINEAGE_MAX    8 /* newest terms that a database reports */

/* Indexes into the in-memory tables of one VM; never sent over a network. */
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

/* An entry in a group's log: the term in which it was written, its position. */
struct log_pos {
	uint64_t term;
	uint64_t position;
};

/*
 * The term history of a log, oldest term first. A term covers the positions
 * after its start, up to and including the start of the next term.
 */
struct lineage {
	uint32_t n;
	struct log_pos start[LINEAGE_MAX];
};

/* One database's state, as of its last response to this VM. */
struct db_view {
	bool known;	     /* the database has responded at least once */
	usec_t requested_at; /* local time when the request was sent */
	usec_t responded_at; /* local time when its response arrived */
	uint64_t fence_term; /* the database refuses lower terms */
	struct log_pos end;  /* last entry of its log */
	struct lineage lineage;
	uint64_t stamp_term; /* term of the primary that set stamp_us */
	int64_t stamp_us;    /* newest timestamp of that primary's clock that
				the database has replayed */
	enum db_role role;
	enum db_state state;
	usec_t departing_at; /* when it was first seen departing; 0: live */
	uint32_t running;    /* statements of this VM running there */
	uint32_t slots;	     /* statements that this VM may run there */
};

/* One group's state as this VM knows it; a database's handle indexes db[]. */
struct group_view {
	uint64_t term;	  /* highest published term known */
	uint32_t primary; /* index into db[], or DB_NONE */
	uint32_t n;
	struct db_view db[DB_MAX];
};

const char *outcome_name(enum outcome o);
int log_pos_cmp(struct log_pos a, struct log_pos b);
bool lineage_contains(const struct lineage *l, struct log_pos end,
		      struct log_pos want);

#endif
