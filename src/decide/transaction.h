#ifndef DECIDE_TRANSACTION_H
#define DECIDE_TRANSACTION_H

#include "decide/error.h"

#define TX_ID_BYTES 96

/* "VM.INCARNATION.NUMBER.GUARD": names the VM that holds the transaction. */
struct tx_id {
	char vm[NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t number;
	uint64_t guard; /* random, so that ids cannot be guessed */
};

int tx_id_format(const struct tx_id *id, char text[TX_ID_BYTES]);
int tx_id_parse(struct tx_id *id, const char *text, struct error *e);

enum tx_state {
	TX_STARTING,
	TX_OPEN,
	TX_RUNNING,    /* one statement at the database */
	TX_COMMITTING, /* commit sent */
	TX_FAILED,     /* only a rollback is left */
	TX_ENDED,
};

struct transaction {
	struct tx_id id;
	char team[NAME_MAX_BYTES];
	enum tx_state state;
	uint64_t term; /* it lives and dies with this term */
	uint32_t db;
	usec_t deadline;   /* of the whole transaction */
	uint32_t waiting;  /* statements queued behind the running one */
	uint32_t sent;	   /* statements sent so far */
	bool commit_asked; /* no further statement is taken */
	bool doubt;	   /* the connection must be closed */
	enum outcome outcome;
	enum error_code why;
};

enum tx_next {
	TX_SEND,     /* now, on the transaction's own connection */
	TX_QUEUE,    /* after the running one, in order of arrival */
	TX_ROLLBACK, /* send a rollback; the statement at hand is refused */
	TX_REFUSE,   /* with outcome and why */
	TX_NOTHING,
};

struct tx_verdict {
	enum tx_next next;
	enum outcome outcome;
	enum error_code why;
};

void tx_begin(struct transaction *t, const struct tx_id *id, const char *team,
	      uint64_t term, uint32_t db, usec_t deadline);
void tx_begun(struct transaction *t, bool ok, enum error_code why);
/* A statement, or with "commit" the commit, of "team" arrives. */
struct tx_verdict tx_arrive(struct transaction *t, const char *team,
			    bool commit, usec_t now);
/* The next queued statement is taken up. */
struct tx_verdict tx_dequeue(struct transaction *t, bool commit, usec_t now);
/* The running statement ended: done, refused (not run), or without reply. */
struct tx_verdict tx_statement_end(struct transaction *t, enum outcome o,
				   enum error_code why);
/* UNKNOWN: the commit's answer is lost; resolved by its request id if any. */
void tx_commit_end(struct transaction *t, enum outcome o, enum error_code why);
struct tx_verdict tx_rollback(struct transaction *t, const char *team);
void tx_rolled_back(struct transaction *t);
struct tx_verdict tx_tick(struct transaction *t, usec_t now);
struct tx_verdict tx_key_withdrawn(struct transaction *t);
/* The view's term is now "term". */
struct tx_verdict tx_view(struct transaction *t, uint64_t term);

/* Where a statement with this id goes, seen from one VM. */
enum tx_place {
	TX_HERE,
	TX_FORWARD, /* to the VM in the id */
	TX_GONE,    /* that VM or that incarnation of it is no more */
};

enum tx_place tx_locate(const struct tx_id *id, const char *vm,
			uint64_t incarnation, bool holder_known,
			uint64_t holder_incarnation);

#endif
