#ifndef DECIDE_SESSION_COMMITS_H
#define DECIDE_SESSION_COMMITS_H

#include "decide/types.h"

/*
 * The newest commit of one session at each service, so that a read sees the
 * session's own writes also after its route has led to another service in
 * between. The table is small: a route rarely leads to more than one service.
 * What it drops when it is full is remembered by time only: a read at a service
 * that it does not name sees whatever was acknowledged until then.
 */
#define SESSION_COMMITS_MAX 4

struct session_commit {
	group_handle service;
	usec_t at; /* time of its reply; 0: there is no commit */
	/* else a read needs a position sampled since "at" */
	bool has_position;
	struct log_pos position;
};

struct session_commits {
	uint32_t n;
	usec_t dropped_at; /* newest reply that was dropped; 0: none was */
	struct session_commit entry[SESSION_COMMITS_MAX];
};

/*
 * Records a commit that is acknowledged at "now". "position" is that of its
 * reply; NULL: the reply had none.
 */
void session_commits_note(struct session_commits *c, group_handle service,
			  const struct log_pos *position, usec_t now);
/* Returns the newest commit that a read at the service has to see. */
struct session_commit session_commits_find(const struct session_commits *c,
					   group_handle service);
/*
 * Returns the staleness bound of a read of "began_at" whose route allows
 * "bound", so that it also covers a commit of unknown position.
 */
usec_t session_commit_bound(const struct session_commit *c, usec_t began_at,
			    usec_t bound);

#endif
