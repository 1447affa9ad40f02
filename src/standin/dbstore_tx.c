#include "standin/dbstore_exec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct transaction *find(struct dbstore *d, const char *id, usec_t now);
static void expire_idle(struct dbstore *d, usec_t now);
static void note_read(struct transaction *t, const struct statement *s,
		      uint64_t position);
static bool reads_stand(const struct dbstore *d, const struct transaction *t);
static bool prefix_stands(const struct dbstore *d, const struct tx_read *r);
static struct entry *entry_of(const struct dbstore *d,
			      const struct transaction *t, int64_t stamp_us);
static void json_free(void *p);

/* Begins a transaction in the primary's term; "out" gets its id. */
enum db_refusal dbstore_begin(struct dbstore *d, uint64_t term, usec_t now,
			      char out[DB_TX_ID_BYTES])
{
	enum db_refusal r = check_term(d, term);
	struct transaction *t;

	if (r != DB_OK)
		return r;
	if (!d->primary_term)
		return DB_NOT_PRIMARY;
	expire_idle(d, now);
	if (omap_size(d->transactions) >= DB_TRANSACTIONS_MAX)
		return DB_BUSY;
	t = must_alloc(sizeof(*t));
	t->used_at = now;
	t->writes = omap_create(json_free);
	snprintf(out, DB_TX_ID_BYTES, "%.40s-%llx-%llx", d->name,
		 (unsigned long long)d->boot,
		 (unsigned long long)++d->transaction_next);
	omap_put(d->transactions, out, t);
	return DB_OK;
}

/* Rolls a transaction back; one that is not there is rolled back already. */
enum db_refusal dbstore_rollback(struct dbstore *d, const char *transaction,
				 uint64_t term)
{
	(void)term;
	omap_remove(d->transactions, transaction);
	return DB_OK;
}

/* Returns how many transactions are open. */
size_t dbstore_transactions(const struct dbstore *d)
{
	return omap_size(d->transactions);
}

/* Drops every transaction: its primary no longer is one. */
void transactions_drop(struct dbstore *d)
{
	omap_destroy(d->transactions);
	d->transactions = omap_create(transaction_free);
}

/* Frees a transaction. */
void transaction_free(void *p)
{
	struct transaction *t = p;
	struct tx_read *r;

	while (t->reads) {
		r = t->reads;
		t->reads = r->next;
		free(r->key);
		free(r);
	}
	omap_destroy(t->writes);
	free(t);
}

/*
 * Runs a statement inside a transaction, over its own writes. A "check" that
 * fails ends the transaction.
 */
struct db_answer transaction_execute(struct dbstore *d, const struct db_call *c,
				     usec_t now)
{
	struct db_answer a = { .refusal = DB_TRANSACTION_GONE };
	struct transaction *t = find(d, c->transaction, now);
	json_t *value;

	if (!t)
		return a;
	a.refusal = evaluate(d, t->writes, c->statement, &a.rows, &value);
	if (a.refusal != DB_OK && c->statement->verb == VERB_CHECK) {
		omap_remove(d->transactions, c->transaction);
		a.refusal = DB_TRANSACTION_GONE;
	}
	if (a.refusal != DB_OK)
		return a;
	if (c->statement->verb != VERB_PUT)
		note_read(t, c->statement, d->position);
	if (value)
		omap_put(t->writes, c->statement->key, value);
	return a;
}

/* See dbstore_commit(); the transaction is gone whatever comes back. */
struct db_answer transaction_commit(struct dbstore *d, const struct db_call *c,
				    usec_t now, int64_t stamp_us)
{
	struct db_answer a = { .refusal = DB_TRANSACTION_GONE };
	struct transaction *t = find(d, c->transaction, now);
	struct entry *e;

	if (!t)
		return a;
	if (!reads_stand(d, t)) {
		omap_remove(d->transactions, c->transaction);
		return a;
	}
	a.refusal = DB_OK;
	a.rows = json_array();
	if (omap_size(t->writes) || c->request_id) {
		e = entry_of(d, t, stamp_us);
		a.at = e->at;
		entry_keep_request(e, c, a.rows);
		log_append(d, e);
	}
	omap_remove(d->transactions, c->transaction);
	return a;
}

/* Finds a transaction and marks it used; NULL if gone or idle too long. */
static struct transaction *find(struct dbstore *d, const char *id, usec_t now)
{
	struct transaction *t;

	expire_idle(d, now);
	t = omap_get(d->transactions, id);
	if (t)
		t->used_at = now;
	return t;
}

static void expire_idle(struct dbstore *d, usec_t now)
{
	struct omap_node *n = omap_from(d->transactions, "");
	struct omap_node *next;
	struct transaction *t;

	for (; n; n = next) {
		next = omap_next(n);
		t = omap_value(n);
		if (now - t->used_at > d->transaction_idle)
			omap_remove(d->transactions, omap_key(n));
	}
}

static void note_read(struct transaction *t, const struct statement *s,
		      uint64_t position)
{
	bool prefix = s->verb == VERB_LIST;
	struct tx_read *r;

	for (r = t->reads; r; r = r->next) {
		if (r->prefix == prefix && strcmp(r->key, s->key) == 0)
			return;
	}
	r = must_alloc(sizeof(*r));
	r->key = must_strdup(s->key);
	r->prefix = prefix;
	r->position = position;
	r->next = t->reads;
	t->reads = r;
}

/* Tells whether nothing that the transaction read has changed since. */
static bool reads_stand(const struct dbstore *d, const struct transaction *t)
{
	const struct tx_read *r;
	const struct cell *c;

	for (r = t->reads; r; r = r->next) {
		if (r->prefix) {
			if (!prefix_stands(d, r))
				return false;
			continue;
		}
		c = omap_get(d->keys, r->key);
		if (c && c->position > r->position)
			return false;
	}
	return true;
}

static bool prefix_stands(const struct dbstore *d, const struct tx_read *r)
{
	struct omap_node *n = omap_from(d->keys, r->key);
	size_t len = strlen(r->key);
	const struct cell *c;

	for (; n && strncmp(omap_key(n), r->key, len) == 0; n = omap_next(n)) {
		c = omap_value(n);
		if (c->position > r->position)
			return false;
	}
	return true;
}

static struct entry *entry_of(const struct dbstore *d,
			      const struct transaction *t, int64_t stamp_us)
{
	struct log_pos at = { .term = d->primary_term,
			      .position = d->position + 1 };
	struct entry *e = entry_create(at, stamp_us, omap_size(t->writes));
	struct omap_node *n = omap_from(t->writes, "");
	size_t i;

	for (i = 0; n; n = omap_next(n), i++) {
		e->change[i].key = must_strdup(omap_key(n));
		e->change[i].value = json_incref(omap_value(n));
	}
	return e;
}

static void json_free(void *p)
{
	json_decref(p);
}
