#include <string.h>

#include "kernel/counters.h"
#include "kernel/log.h"
#include "proxy/remote.h"

/*
 * Second links: the VM that opened a link which has fallen silent opens another
 * one beside it, and asks on it what became of its statements.
 */

/* Streams in one RESUME, as many as a VM serves for all others. */
#define RESUME_STREAMS_MAX 8192

static uint32_t take_over_streams(struct peer_link *second);
static struct peer_link *find_link(const struct peer_link *like, uint64_t id);
static bool is_valid(struct wire_reader streams);
static void answer(struct peer_link *l, struct peer_link *old,
		   struct wire_reader streams);
static enum stream_state take_stream(struct peer_link *l, struct peer_link *old,
				     uint64_t id, uint64_t number);
static enum stream_state state_of(struct peer_link *l, struct peer_link *old,
				  const struct served_stream *v,
				  uint64_t number);
static void send_kept(struct peer_link *l, uint64_t number);
static void apply_state(struct peer_link *l, uint64_t id, uint64_t number,
			enum stream_state state);
static bool all_answered(const struct peer_link *l);
static void log_resumed(const struct peer_link *l, const char *peer,
			const uint32_t *n);

/* Sends [type, name of this VM, incarnation, link id]. */
void link_resume_send_hello(struct peer_link *l)
{
	const struct kernel *k = l->proxy->kernel;
	msgpack_sbuffer buf;
	msgpack_packer p;

	peer_link_begin(&buf, &p, 4, LINK_MSG_HELLO);
	wire_put_str(&p, k->settings.vm);
	msgpack_pack_uint64(&p, k->incarnation);
	msgpack_pack_uint64(&p, l->id);
	peer_link_send(l, &buf);
}

/*
 * Handles the first message of a link that another VM opened. An id that an
 * open link of that VM has already is refused.
 */
void link_resume_on_hello(struct peer_link *l, struct wire_reader *r)
{
	uint64_t id;

	wire_str(r, l->opener, sizeof(l->opener));
	l->opener_incarnation = wire_u64(r);
	id = wire_u64(r);
	if (r->bad || !l->opener[0] || id == 0 || find_link(l, id))
		r->bad = true;
	else
		l->id = id;
}

/*
 * Moves all streams of the first link to the second one, which has just been
 * opened, and asks for them: [type, id of the first link, streams], a stream
 * being [id, number of the waiting statement or 0, ...]. From here on the other
 * VM may close the first link at any time, so nothing more is sent on it.
 */
void link_resume_start(struct peer_link *second)
{
	struct peer_link *first = second->first;
	struct remote_stream *s;
	msgpack_sbuffer buf;
	msgpack_packer p;
	uint32_t n;

	n = take_over_streams(second);
	peer_link_begin(&buf, &p, 3, LINK_MSG_RESUME);
	msgpack_pack_uint64(&p, first->id);
	msgpack_pack_array(&p, (size_t)2 * n);
	TAILQ_FOREACH(s, &second->streams, entry)
	{
		msgpack_pack_uint64(&p, s->id);
		msgpack_pack_uint64(&p, s->running ? s->number : 0);
	}
	peer_link_send(second, &buf);
}

/*
 * Handles [id of the first link, streams]: the first link is closed before
 * anything is answered, so that no statement of it can arrive any more.
 */
void link_resume_on_resume(struct peer_link *l, struct wire_reader *r)
{
	uint64_t id = wire_u64(r);
	struct wire_reader streams =
		wire_nested_array(r, 2 * RESUME_STREAMS_MAX);

	if (r->bad || l->n_received != 2 || id == l->id || !is_valid(streams)) {
		r->bad = true;
		return;
	}
	answer(l, find_link(l, id), streams);
}

/*
 * Handles [streams], a stream being [id, number, state, ...], and closes the
 * first link. A stream whose result arrived on the first link meanwhile, or
 * that has another statement by now, is passed over.
 */
void link_resume_on_resumed(struct peer_link *l, struct wire_reader *r)
{
	uint32_t n[STREAM_STATE_COUNT] = { 0 };
	struct wire_reader streams =
		wire_nested_array(r, 3 * RESUME_STREAMS_MAX);
	uint64_t number;
	uint64_t state;
	uint64_t id;

	if (r->bad || !l->is_resuming) {
		r->bad = true;
		return;
	}
	l->is_resuming = false;
	if (l->first)
		peer_link_close(l->first, "replaced");
	while (streams.left > 0 && !l->closed) {
		id = wire_u64(&streams);
		number = wire_u64(&streams);
		state = wire_u64(&streams);
		if (streams.bad || state >= STREAM_STATE_COUNT) {
			r->bad = true;
			return;
		}
		n[state]++;
		apply_state(l, id, number, (enum stream_state)state);
	}
	r->bad |= !l->closed && !all_answered(l);
	log_resumed(l, l->peer, n);
}

/*
 * Moves the streams of the first link to the second one, with the time since
 * which their statements wait. Returns their number.
 */
static uint32_t take_over_streams(struct peer_link *second)
{
	struct peer_link *first = second->first;
	struct remote_stream *s;
	uint32_t n = 0;

	while ((s = TAILQ_FIRST(&first->streams))) {
		TAILQ_REMOVE(&first->streams, s, entry);
		TAILQ_INSERT_TAIL(&second->streams, s, entry);
		s->link = second;
		s->is_resuming = true;
		n++;
	}
	second->n_running = first->n_running;
	second->active_since = first->active_since;
	second->heard_at = first->heard_at;
	second->pinged_at = first->pinged_at;
	second->used_at = first->used_at;
	second->is_resuming = true;
	first->n_running = 0;
	first->is_replaced = true;
	return n;
}

/*
 * Finds the open link with this id that the same incarnation of the same VM
 * opened; NULL: none.
 */
static struct peer_link *find_link(const struct peer_link *like, uint64_t id)
{
	struct peer_link *l;

	TAILQ_FOREACH(l, &like->proxy->links, entry)
	{
		if (l != like && !l->peer[0] && l->id == id &&
		    l->opener_incarnation == like->opener_incarnation &&
		    strcmp(l->opener, like->opener) == 0)
			return l;
	}
	return NULL;
}

/* True if the list consists of pairs of an id and a number. */
static bool is_valid(struct wire_reader streams)
{
	while (streams.left > 0 && !streams.bad) {
		wire_u64(&streams);
		wire_u64(&streams);
	}
	return !streams.bad;
}

/*
 * Closes the old link, NULL if there is none, and sends [type, streams], then
 * the results that were kept. The states refer to the time after the closing:
 * streams that go on have been moved before it, all others end with it.
 */
static void answer(struct peer_link *l, struct peer_link *old,
		   struct wire_reader streams)
{
	uint32_t n[STREAM_STATE_COUNT] = { 0 };
	struct wire_reader again = streams;
	enum stream_state state;
	msgpack_sbuffer buf;
	msgpack_packer p;
	uint64_t number;
	uint64_t id;

	if (old)
		stream_record_close(&old->record, &l->record);
	peer_link_begin(&buf, &p, 2, LINK_MSG_RESUMED);
	msgpack_pack_array(&p, (size_t)streams.left / 2 * 3);
	while (streams.left > 0) {
		id = wire_u64(&streams);
		number = wire_u64(&streams);
		state = take_stream(l, old, id, number);
		n[state]++;
		msgpack_pack_uint64(&p, id);
		msgpack_pack_uint64(&p, number);
		msgpack_pack_uint32(&p, state);
	}
	if (old)
		peer_link_close(old, "replaced");
	peer_link_send(l, &buf);
	while (again.left > 0) {
		wire_u64(&again);
		send_kept(l, wire_u64(&again));
	}
	log_resumed(l, l->opener, n);
}

/*
 * Moves a stream of the closed link to the second one unless it is unknown what
 * became of its statement. Returns what became of that.
 */
static enum stream_state take_stream(struct peer_link *l, struct peer_link *old,
				     uint64_t id, uint64_t number)
{
	struct served_stream *v = old ? remote_server_find(old, id) : NULL;
	enum stream_state state = state_of(l, old, v, number);

	if (v && state != STREAM_UNKNOWN)
		remote_server_move(v, l);
	return state;
}

/* Returns what became of a statement; number 0: of an open transaction. */
static enum stream_state state_of(struct peer_link *l, struct peer_link *old,
				  const struct served_stream *v,
				  uint64_t number)
{
	bool is_running = v && v->session.exec.stage != EXEC_NONE;

	if (!old)
		return STREAM_UNKNOWN;
	if (number == 0)
		return v && !is_running ? STREAM_OPEN : STREAM_UNKNOWN;
	return stream_record_ask(&old->record, &l->record, number,
				 is_running && v->number == number);
}

/* Sends the result of a statement again if it was kept. */
static void send_kept(struct peer_link *l, uint64_t number)
{
	const struct stream_record_result *kept =
		stream_record_find(&l->record, number);
	msgpack_sbuffer buf;

	if (!kept)
		return;
	msgpack_sbuffer_init(&buf);
	if (msgpack_sbuffer_write(&buf, kept->data, kept->len) == 0)
		peer_link_send(l, &buf);
	else
		msgpack_sbuffer_destroy(&buf);
}

/* Applies what became of a stream of this VM. */
static void apply_state(struct peer_link *l, uint64_t id, uint64_t number,
			enum stream_state state)
{
	struct remote_stream *s = remote_client_find(l, id);

	if (!s || !s->is_resuming)
		return;
	s->is_resuming = false;
	if (number != (s->running ? s->number : 0))
		return;
	if (state == STREAM_NEVER_RECEIVED) {
		counter_add(CTR_STREAMS_NEVER_RECEIVED, 1);
		remote_client_send_again(s);
	} else if (state == STREAM_UNKNOWN) {
		counter_add(CTR_STREAMS_UNKNOWN, 1);
		remote_client_end_unknown(s);
	} else {
		counter_add(CTR_STREAMS_RESUMED, 1);
	}
}

/* True if no stream is left that was asked for and not answered. */
static bool all_answered(const struct peer_link *l)
{
	const struct remote_stream *s;

	TAILQ_FOREACH(s, &l->streams, entry)
	{
		if (s->is_resuming)
			return false;
	}
	return true;
}

/* Logs how many streams are in each state. */
static void log_resumed(const struct peer_link *l, const char *peer,
			const uint32_t *n)
{
	log_event(EV_LINK_RESUMED,
		  "peer=%s opened_here=%d running=%u done=%u never_received=%u "
		  "unknown=%u open=%u",
		  peer, l->peer[0] != '\0', n[STREAM_RUNNING], n[STREAM_DONE],
		  n[STREAM_NEVER_RECEIVED], n[STREAM_UNKNOWN], n[STREAM_OPEN]);
}
