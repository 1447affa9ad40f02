#include "decide/read_silence.h"
#include "kernel/log.h"
#include "proxy/proxy_internal.h"

/* Connections to databases that fell silent while others work. */

static struct backend *find_silent(struct db_member *db, usec_t now);
static bool may_move(const struct backend *b);

/*
 * Closes the connections of a database that are probably silent, if what waits
 * on them may be made again. It then goes to another database or connection.
 */
void backend_close_silent(struct db_member *db, usec_t now)
{
	struct backend *b;

	/* The list may change whenever a session goes on. */
	while ((b = find_silent(db, now)))
		backend_close(b, "silent, while others answer");
}

/* Returns a connection to be closed, or NULL. */
static struct backend *find_silent(struct db_member *db, usec_t now)
{
	struct read_silence_view v = {
		.latency = db->latency,
		.answered_sent_at = db->answered_sent_at,
	};
	struct backend *b;

	TAILQ_FOREACH(b, &db->conns, link)
	{
		if (b->n_expected == 0 || !may_move(b))
			continue;
		v.sent_at = b->expected[0].sent_at;
		v.began_at = b->session->exec.began_at;
		if (read_silence_is_likely(&v, now))
			return b;
	}
	return NULL;
}

/*
 * True if the session's statement is a read outside transactions, or was not
 * sent yet. The outcome of others would be unknown.
 */
static bool may_move(const struct backend *b)
{
	const struct session *s = b->session;

	if (!s || b->state != BACKEND_BUSY || b->in_tx || s->in_tx)
		return false;
	return s->exec.stage == EXEC_PREPARING ||
	       (s->exec.stage == EXEC_RUNNING && !s->exec.is_write);
}
