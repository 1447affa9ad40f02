#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <jansson.h>
#include <stdatomic.h>

#include "standin/database.h"

/* The same while running; set over the control address, read anywhere. */
struct faults {
	atomic_llong latency_us;
	atomic_llong connect_us;
	atomic_llong slots;
	atomic_llong connections;
	atomic_llong lag_ms;
	atomic_llong drop_replies;
	atomic_llong drop_requests;
	atomic_llong silent_before; /* connections below this are silent */
	atomic_bool paused;
	atomic_bool refuse;
	atomic_bool cut_replication;
	atomic_bool departing;
};

void faults_init(struct faults *f, const struct fault_settings *s);
/*
 * Sets what a control document names: 0, or -1 with UNPROCESSABLE and nothing
 * set. "silent": true silences the connections below "next_seq".
 */
int faults_set(struct faults *f, const json_t *j, uint64_t next_seq,
	       struct error *e);
json_t *faults_to_json(struct faults *f);
/* Counts one down; true if there was one to take. */
bool faults_consume(atomic_llong *remaining);

#endif
