#ifndef DECIDE_TRANSACTION_H
#define DECIDE_TRANSACTION_H

#include "decide/error.h"

#define TX_ID_BYTES 96

/* "VM.INCARNATION.NUMBER.GUARD": names the VM that holds the transaction. */
struct tx_id {
	char vm[NAME_MAX_BYTES];
	uint64_t incarnation; /* of that VM */
	uint64_t number;      /* of the transaction at that VM */
	uint64_t guard;	      /* random, so that ids cannot be guessed */
};

int tx_id_format(const struct tx_id *id, char text[TX_ID_BYTES]);
int tx_id_parse(struct tx_id *id, const char *text, struct error *e);

enum tx_state {
	TX_STARTING,
	TX_OPEN,
	TX_RUNNING,    /* a statement is running at the database */
	TX_COMMITTING, /* commit sent */
	TX_FAILED,     /* can only be rolled back */
	TX_ENDED,
};

struct transaction {
	struct tx_id id;
	char team[NAME_MAX_BYTES];
	enum tx_state state;
	uint64_t term; /* the transaction fails if a later term begins */
	uint32_t db;
	usec_t deadline;       /* of the whole transaction */
	uint32_t n_queued;     /* statements queued behind the running one */
	uint32_t sent;	       /* statements sent so far */
	bool commit_requested; /* no more statements are accepted */
	bool in_doubt;	       /* state at the database unknown: close the
				  connection */
	enum outcome outcome;
	enum error_code why;
};

enum tx_next {
	TX_SEND,     /* send the statement on the transaction's connection */
	TX_QUEUE,    /* queue the statement behind the running one */
	TX_ROLLBACK, /* send a rollback and refuse this statement */
	TX_REFUSE,   /* refuse the statement with outcome and why */
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
/* Handles a statement of "team", or the commit if "commit" is true. */
struct tx_verdict tx_arrive(struct transaction *t, const char *team,
			    bool commit, usec_t now);
/* Handles the next queued statement. */
struct tx_verdict tx_dequeue(struct transaction *t, bool commit, usec_t now);
/* Ends the running statement: done, refused (not run) or without reply. */
struct tx_verdict tx_statement_end(struct transaction *t, enum outcome o,
				   enum error_code why);
/* Ends the commit. UNKNOWN: its reply was lost; a request id resolves it. */
void tx_commit_end(struct transaction *t, enum outcome o, enum error_code why);
struct tx_verdict tx_rollback(struct transaction *t, const char *team);
void tx_rolled_back(struct transaction *t);
struct tx_verdict tx_tick(struct transaction *t, usec_t now);
struct tx_verdict tx_key_withdrawn(struct transaction *t);
/* Takes in that the view's term is now "term". */
struct tx_verdict tx_term_changed(struct transaction *t, uint64_t term);

/* Where this VM sends a statement with a transaction id. */
enum tx_location {
	TX_HERE,
	TX_FORWARD, /* to the VM in the id */
	TX_GONE,    /* that VM, or that incarnation of it, has ended */
};

enum tx_location tx_locate(const struct tx_id *id, const char *vm,
			   uint64_t incarnation, bool holder_known,
			   uint64_t holder_incarnation);

#endif
