#include "decide/lost_answer.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/*
 * Connections to databases whose answer is probably lost, or that fell silent
 * while others work.
 */

static struct backend *find_lost(struct db_member *db, usec_t now);
static enum lost_answer_action check(const struct backend *b, usec_t now);
static enum lost_answer_kind kind_of(const struct backend *b);

/*
 * Closes the connections of a database whose answer is probably lost, if that
 * is safe: reads go to another database or connection, and transactions end.
 * The slots of the others count as free.
 */
void backend_check_answers(struct db_member *db, usec_t now)
{
	struct backend *b;
	bool is_freed = false;

	/* The list may change whenever a session goes on. */
	while ((b = find_lost(db, now)))
		backend_close(b, "no answer, while others are answered");
	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->is_overdue || b->n_expected == 0 ||
		    b->expected[0].kind != EXPECT_STATEMENT ||
		    check(b, now) != LOST_ANSWER_FREE_SLOT)
			continue;
		log_event(EV_ANSWER_OVERDUE,
			  "service=%s database=%s id=%s waited_us=%lld",
			  db->group->service, db->id,
			  b->session ? b->session->exec.id : "-",
			  (long long)(now - b->expected[0].sent_at));
		b->is_overdue = true;
		db->running--;
		is_freed = true;
	}
	if (is_freed)
		dispatch_waiting(db->group);
}

/* Returns a connection to be closed, or NULL. */
static struct backend *find_lost(struct db_member *db, usec_t now)
{
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (check(b, now) == LOST_ANSWER_CLOSE)
			return b;
	}
	return NULL;
}

/* Returns what to do about the oldest request on the connection. */
static enum lost_answer_action check(const struct backend *b, usec_t now)
{
	struct lost_answer_view v = {
		.latency = b->db->latency,
		.deviation = b->db->deviation,
		.answered_sent_at = b->db->answered_sent_at,
	};

	if (b->n_expected == 0 || b->state != BACKEND_BUSY || b->control)
		return LOST_ANSWER_WAIT;
	v.kind = kind_of(b);
	v.sent_at = b->expected[0].sent_at;
	v.began_at = b->session ? b->session->exec.began_at : v.sent_at;
	v.deadline = b->session ? b->session->exec.deadline : v.sent_at;
	return lost_answer_check(&v, now);
}

/* Returns what is given up if the connection is closed. */
static enum lost_answer_kind kind_of(const struct backend *b)
{
	const struct session *s = b->session;

	if (!s)
		return LOST_ANSWER_ABANDONED;
	if (s->in_tx)
		return s->exec.is_commit && s->tx_wrote ? LOST_ANSWER_WRITE
							: LOST_ANSWER_ROLLBACK;
	if (s->exec.stage == EXEC_RUNNING && s->exec.is_write)
		return LOST_ANSWER_WRITE;
	return LOST_ANSWER_READ;
}
