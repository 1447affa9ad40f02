#include "decide/link_silence.h"

static bool is_given_up(const struct link_silence *l, usec_t now);
static bool is_ping_due(const struct link_silence *l, usec_t quiet, usec_t now);
static bool is_second_due(const struct link_silence *l, usec_t now);

/*
 * Decides what is to be done now with a link that this VM opened. A link is
 * given up only if statements wait on it: an idle one may be that of a VM that
 * stands still, with open transactions that go on afterwards.
 */
enum link_silence_step link_silence_next(const struct link_silence *l,
					 usec_t now)
{
	usec_t quiet_since =
		l->heard_at > l->active_since ? l->heard_at : l->active_since;

	if (!l->is_open)
		return now - l->opened_at > LINK_CONNECT_TIMEOUT_US
			       ? LINK_SILENCE_CONNECT_FAILED
			       : LINK_SILENCE_NONE;
	if (is_given_up(l, now))
		return LINK_SILENCE_GIVE_UP;
	if (!l->has_streams && now - l->used_at > LINK_IDLE_MAX_US)
		return LINK_SILENCE_CLOSE_IDLE;
	if (is_ping_due(l, now - quiet_since, now))
		return LINK_SILENCE_PING;
	if (is_second_due(l, now))
		return LINK_SILENCE_OPEN_SECOND;
	return LINK_SILENCE_NONE;
}

/*
 * Decides whether the streams of a broken link can go on on a second one. On a
 * link that has itself asked for streams and has no answer they can't: the
 * other VM may not have read the request, and would then tell by the record of
 * this link alone that it never received statements that arrived on the one
 * before.
 */
bool link_silence_may_resume(const struct link_silence *l)
{
	return l->is_open && !l->is_resuming && l->has_streams;
}

/* True if statements wait on the link and it has been probed in vain. */
static bool is_given_up(const struct link_silence *l, usec_t now)
{
	usec_t since = l->pinged_at - LINK_PING_WAITING_US;

	if (l->n_running == 0 || !l->pinged_at)
		return false;
	if (l->active_since > since)
		since = l->active_since;
	return now - since > LINK_GIVE_UP_US;
}

/* True if the link is to be probed; "quiet" is the time without data. */
static bool is_ping_due(const struct link_silence *l, usec_t quiet, usec_t now)
{
	if (l->pinged_at)
		return false;
	if (l->n_running > 0)
		return quiet > LINK_PING_WAITING_US;
	return now - l->heard_at > LINK_PING_IDLE_US &&
	       (l->has_streams || now - l->used_at < LINK_IN_USE_US);
}

/* True if the probe is unanswered for so long that a second link is due. */
static bool is_second_due(const struct link_silence *l, usec_t now)
{
	if (!l->pinged_at || l->has_second || l->is_resuming)
		return false;
	if (l->second_at && now - l->second_at < LINK_SECOND_INTERVAL_US)
		return false;
	return now - l->pinged_at > LINK_SECOND_AFTER_US;
}
