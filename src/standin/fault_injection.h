#ifndef STANDIN_FAULT_INJECTION_H
#define STANDIN_FAULT_INJECTION_H

#include <jansson.h>
#include <stdatomic.h>

#include "standin/database.h"

/*
 * Faults to inject at run time: the delays and limits of fault_settings, counts
 * of requests to fail, and flags. The control server sets them. Other threads
 * read them, and faults_consume() decrements the counts drop_replies and
 * drop_requests.
 */
struct faults {
	atomic_llong latency_us;
	atomic_llong connect_us;
	atomic_llong slots;
	atomic_llong connections;
	atomic_llong lag_ms;
	atomic_llong drop_replies;  /* executed requests to leave unanswered */
	atomic_llong drop_requests; /* requests to drop unexecuted */
	atomic_llong silent_before; /* connections with a lower seq hang */
	atomic_bool paused;	    /* requests wait until the pause ends */
	atomic_bool refuse; /* new connections and requests are closed */
	atomic_bool cut_replication; /* no log is served or fetched */
	atomic_bool departing;	     /* only reported by the control server */
};

void faults_init(struct faults *f, const struct fault_settings *s);
int faults_set(struct faults *f, const json_t *j, uint64_t next_seq,
	       struct error *e);
json_t *faults_to_json(struct faults *f);
bool faults_consume(atomic_llong *remaining);

#endif
