#ifndef KERNEL_DATABASE_H
#define KERNEL_DATABASE_H

#include "decide/once.h"
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
	DB_LOOKUP, /* the kept answer of a request id */
};

enum db_result {
	DB_OK,
	DB_REFUSED,  /* surely not executed; "refusal" says why */
	DB_NOT_SENT, /* never left this VM */
	DB_LOST,     /* may have been executed */
};

/* What a database says of itself with every answer. */
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
 * One call to a database, owned by its maker. done() runs on the loop, never
 * from within database_submit(). Strings of the maker must live until then.
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
	char primary[ADDR_MAX_BYTES]; /* FOLLOW */
	bool fresh;		      /* on a new connection */
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
	char *rows; /* JSON array, malloc'd, the maker's; NULL if none */
	bool replayed;
	bool found; /* LOOKUP */
	struct log_pos at;
	char new_transaction[TRANSACTION_ID_BYTES];
	/* The plug-in's own: */
	struct http_call http;
	char *body;
};

struct database_ops {
	const char *name;
	void (*submit)(struct db_call *c); /* loop thread */
};

void database_register(const struct database_ops *ops);
void database_submit(struct db_call *c);
/* Copies what a call heard into the view of the database. */
void database_view_update(struct db_view *v, const struct db_call *c);

#endif
