#include "standin/dbstore_exec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct dbstore_tx *find_tx(struct dbstore *d, const char *id,
				  usec_t now);
static void expire_idle(struct dbstore *d, usec_t now);
static void record_read(struct dbstore_tx *t, const struct statement *s,
			uint64_t position);
static bool reads_unchanged(const struct dbstore *d,
			    const struct dbstore_tx *t);
static bool prefix_unchanged(const struct dbstore *d, const struct tx_read *r);
static struct log_entry *build_log_entry(const struct dbstore *d,
					 const struct dbstore_tx *t,
					 int64_t stamp_us);
static void json_free(void *p);

/*
 * Begins a transaction on the primary and writes its id to "out". Returns
 * DB_BUSY if too many transactions are open. "now" is monotonic time.
 */
enum dbstore_result dbstore_begin(struct dbstore *d, uint64_t term, usec_t now,
				  char out[DB_TX_ID_BYTES])
{
	enum dbstore_result r = dbstore_check_term(d, term);
	struct dbstore_tx *t;

	if (r != DB_OK)
		return r;
	if (!d->primary_term)
		return DB_NOT_PRIMARY;
	expire_idle(d, now);
	if (skiplist_size(d->transactions) >= DB_TRANSACTIONS_MAX)
		return DB_BUSY;
	t = xzalloc(sizeof(*t));
	t->last_used = now;
	t->writes = skiplist_create(json_free);
	snprintf(out, DB_TX_ID_BYTES, "%.40s-%llx-%llx", d->name,
		 (unsigned long long)d->start_id,
		 (unsigned long long)++d->last_tx_number);
	skiplist_put(d->transactions, out, t);
	return DB_OK;
}

/*
 * Rolls back a transaction. A transaction that does not exist counts as rolled
 * back. The term is not checked.
 */
enum dbstore_result dbstore_rollback(struct dbstore *d, const char *transaction,
				     uint64_t term)
{
	(void)term;
	skiplist_remove(d->transactions, transaction);
	return DB_OK;
}

/* Returns the number of open transactions. */
size_t dbstore_n_transactions(const struct dbstore *d)
{
	return skiplist_size(d->transactions);
}

/* Drops every transaction because the database is no longer primary. */
void dbstore_tx_drop_all(struct dbstore *d)
{
	skiplist_destroy(d->transactions);
	d->transactions = skiplist_create(dbstore_tx_free);
}

/* Frees a transaction. */
void dbstore_tx_free(void *p)
{
	struct dbstore_tx *t = p;
	struct tx_read *r;

	while (t->reads) {
		r = t->reads;
		t->reads = r->next;
		free(r->key);
		free(r);
	}
	skiplist_destroy(t->writes);
	free(t);
}

/*
 * Executes a statement in a transaction, which sees its own writes. A "check"
 * statement that fails ends the transaction.
 */
struct dbstore_response dbstore_tx_execute(struct dbstore *d,
					   const struct dbstore_request *req,
					   usec_t now)
{
	struct dbstore_response resp = { .result = DB_TRANSACTION_GONE };
	struct dbstore_tx *t = find_tx(d, req->transaction, now);
	json_t *value;

	if (!t)
		return resp;
	resp.result = dbstore_evaluate(d, t->writes, req->statement, &resp.rows,
				       &value);
	if (resp.result != DB_OK && req->statement->verb == VERB_CHECK) {
		skiplist_remove(d->transactions, req->transaction);
		resp.result = DB_TRANSACTION_GONE;
	}
	if (resp.result != DB_OK)
		return resp;
	if (req->statement->verb != VERB_PUT)
		record_read(t, req->statement, d->position);
	if (value)
		skiplist_put(t->writes, req->statement->key, value);
	return resp;
}

/*
 * Commits a transaction if no key that it read has changed since. The
 * transaction ends whatever the result; see dbstore_commit().
 */
struct dbstore_response dbstore_tx_commit(struct dbstore *d,
					  const struct dbstore_request *req,
					  usec_t now, int64_t stamp_us)
{
	struct dbstore_response resp = { .result = DB_TRANSACTION_GONE };
	struct dbstore_tx *t = find_tx(d, req->transaction, now);
	struct log_entry *e;

	if (!t)
		return resp;
	if (!reads_unchanged(d, t)) {
		skiplist_remove(d->transactions, req->transaction);
		return resp;
	}
	resp.result = DB_OK;
	resp.rows = json_array();
	if (skiplist_size(t->writes) || req->request_id) {
		e = build_log_entry(d, t, stamp_us);
		resp.pos = e->pos;
		log_entry_set_request(e, req, resp.rows);
		dbstore_log_append(d, e);
	}
	skiplist_remove(d->transactions, req->transaction);
	return resp;
}

/*
 * Returns a transaction and marks it as used now, or NULL if it does not exist
 * or has been idle too long.
 */
static struct dbstore_tx *find_tx(struct dbstore *d, const char *id, usec_t now)
{
	struct dbstore_tx *t;

	expire_idle(d, now);
	t = skiplist_get(d->transactions, id);
	if (t)
		t->last_used = now;
	return t;
}

/* Removes the transactions that have been idle longer than the timeout. */
static void expire_idle(struct dbstore *d, usec_t now)
{
	struct skiplist_node *n = skiplist_lower_bound(d->transactions, "");
	struct skiplist_node *next;
	struct dbstore_tx *t;

	for (; n; n = next) {
		next = skiplist_next(n);
		t = skiplist_value(n);
		if (now - t->last_used > d->tx_idle_timeout)
			skiplist_remove(d->transactions, skiplist_key(n));
	}
}

/*
 * Records what a statement reads, once per key or prefix, with the log
 * position at the first read. Commit validates these reads.
 */
static void record_read(struct dbstore_tx *t, const struct statement *s,
			uint64_t position)
{
	bool prefix = s->verb == VERB_LIST;
	struct tx_read *r;

	for (r = t->reads; r; r = r->next) {
		if (r->prefix == prefix && strcmp(r->key, s->key) == 0)
			return;
	}
	r = xzalloc(sizeof(*r));
	r->key = xstrdup(s->key);
	r->prefix = prefix;
	r->position = position;
	r->next = t->reads;
	t->reads = r;
}

/* Tells whether no key that the transaction read has changed since. */
static bool reads_unchanged(const struct dbstore *d, const struct dbstore_tx *t)
{
	const struct tx_read *r;
	const struct versioned_value *v;

	for (r = t->reads; r; r = r->next) {
		if (r->prefix) {
			if (!prefix_unchanged(d, r))
				return false;
			continue;
		}
		v = skiplist_get(d->keys, r->key);
		if (v && v->position > r->position)
			return false;
	}
	return true;
}

/*
 * Tells whether no key with a prefix has been added or changed since the
 * prefix was read.
 */
static bool prefix_unchanged(const struct dbstore *d, const struct tx_read *r)
{
	struct skiplist_node *n = skiplist_lower_bound(d->keys, r->key);
	size_t len = strlen(r->key);
	const struct versioned_value *v;

	for (; n && strncmp(skiplist_key(n), r->key, len) == 0;
	     n = skiplist_next(n)) {
		v = skiplist_value(n);
		if (v->position > r->position)
			return false;
	}
	return true;
}

/* Returns a log entry that holds all of the transaction's writes. */
static struct log_entry *build_log_entry(const struct dbstore *d,
					 const struct dbstore_tx *t,
					 int64_t stamp_us)
{
	struct log_pos at = { .term = d->primary_term,
			      .position = d->position + 1 };
	struct log_entry *e =
		log_entry_create(at, stamp_us, skiplist_size(t->writes));
	struct skiplist_node *n = skiplist_lower_bound(t->writes, "");
	size_t i;

	for (i = 0; n; n = skiplist_next(n), i++) {
		e->changes[i].key = xstrdup(skiplist_key(n));
		e->changes[i].value = json_incref(skiplist_value(n));
	}
	return e;
}

/* Frees a JSON value in a map of writes. */
static void json_free(void *p)
{
	json_decref(p);
}
