#ifndef KERNEL_DATABASE_H
#define KERNEL_DATABASE_H

#include "decide/idempotency.h"
#include "kernel/loop.h"
#include "kernel/request.h"

enum db_op {
	DB_EXECUTE,
	DB_BEGIN,
	DB_COMMIT,
	DB_ROLLBACK,
	DB_STATUS,
	DB_FENCE,
	DB_PROMOTE,
	DB_FOLLOW,
	DB_LOOKUP, /* the stored result of a request id */
};

enum db_result {
	DB_OK,
	DB_REFUSED,  /* not executed; "refusal" tells why */
	DB_NOT_SENT, /* nothing was sent; not executed */
	DB_LOST,     /* no response; may have been executed */
};

/* The status that a database returns with every response. */
struct db_status {
	uint64_t fence_term;
	enum db_role role;
	struct log_pos end;
	struct lineage lineage;
	uint64_t stamp_term;
	int64_t stamp_us;
	uint32_t running;
	uint32_t slots;
};

/*
 * One call to a database, owned by the caller of database_submit(), whose
 * strings must stay valid until done() runs. done() runs on the loop, never
 * from within database_submit().
 */
struct db_call {
	enum db_op op;
	struct loop *loop;
	char address[ADDR_MAX_BYTES];
	uint64_t term;
	enum statement_kind kind;
	const char *statement;
	const char *parameters; /* JSON array or NULL */
	char request_id[NAME_MAX_BYTES + REQUEST_ID_BYTES];
	char body_hash[33];
	char transaction[TRANSACTION_ID_BYTES];
	char primary[ADDR_MAX_BYTES]; /* FOLLOW: the primary to follow */
	bool new_connection;	      /* don't reuse an idle connection */
	usec_t timeout;
	void (*done)(struct db_call *c);
	void *ctx;
	/* Filled in before done(): */
	enum db_result result;
	enum refusal refusal;
	struct error error;
	usec_t asked_at;
	usec_t heard_at;
	bool has_status;
	struct db_status status;
	char *rows; /* JSON array; freed by the owner; NULL if none */
	bool replayed;
	bool found; /* LOOKUP: there is a stored result */
	struct log_pos at;
	char new_transaction[TRANSACTION_ID_BYTES];
	/* Private to the plug-in: */
	struct http_call http;
	char *body;
};

struct database_ops {
	const char *name;
	void (*submit)(struct db_call *c); /* loop thread */
};

void database_register(const struct database_ops *ops);
void database_submit(struct db_call *c);
/* Copies the status that a call returned into the view of its database. */
void database_view_update(struct db_view *v, const struct db_call *c);

#endif
