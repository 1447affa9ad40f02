#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "kernel/wire.h"
#include "proxy/proxy_internal.h"

/*
 * Client and server of the team rate limits. Each operation takes a token from
 * its team's keeper, the VM that holds the team's token bucket. Request and
 * response are one datagram each; a lost one is sent again. The token buckets
 * are in decide/rate_limit.h.
 */

/*
 * A request without a response is sent again after about ten round trips
 * between failure domains, which includes the delay in a busy VM's thread.
 */
#define REQUEST_RETRY_US (60 * USEC_PER_MSEC)
/* After this many requests without a response the VM decides by itself. */
#define REQUEST_SENDS_MAX 3

struct token_request {
	TAILQ_ENTRY(token_request) link;
	uint64_t id;
	struct session *session;
	usec_t began_at;
	usec_t sent_at;
	uint32_t n_sent;
};

struct rate_limiter {
	struct proxy *proxy;
	/* id of the next request; not reused after a restart of this VM */
	uint64_t next_id;
	TAILQ_HEAD(, token_request) requests;
};

static void send_request(struct rate_limiter *l, struct token_request *t,
			 usec_t now);
static void decide_locally(struct rate_limiter *l, struct token_request *t,
			   usec_t now);
static bool take_local_token(struct rate_limiter *l, const struct session *s,
			     usec_t now, usec_t *retry_after);
static void free_request(struct rate_limiter *l, struct token_request *t);

/* Creates the client. Returns NULL if memory is short. */
struct rate_limiter *rate_limit_client_create(struct proxy *p)
{
	struct rate_limiter *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->proxy = p;
	l->next_id = p->kernel->incarnation << 16;
	TAILQ_INIT(&l->requests);
	return l;
}

/*
 * Takes a token for the session's operation. With RATE_LIMIT_CLIENT_PENDING,
 * session_on_rate_result() is called once, later. With
 * RATE_LIMIT_CLIENT_REFUSED, "retry_after" is the time until a token is
 * available.
 */
enum rate_limit_client_result rate_limit_client_acquire(struct rate_limiter *l,
							struct session *s,
							usec_t *retry_after)
{
	usec_t now = proxy_now();
	struct token_request *t;

	if (!l->proxy->vms_known) {
		/* Without the list of VMs a team's keeper is not known. */
		*retry_after = USEC_PER_SEC;
		return RATE_LIMIT_CLIENT_REFUSED;
	}
	if (!rate_limit_keeper(l->proxy->rate_limit, s->team))
		return take_local_token(l, s, now, retry_after)
			       ? RATE_LIMIT_CLIENT_GRANTED
			       : RATE_LIMIT_CLIENT_REFUSED;
	t = calloc(1, sizeof(*t));
	if (!t) {
		*retry_after = USEC_PER_SEC;
		return RATE_LIMIT_CLIENT_REFUSED;
	}
	t->id = l->next_id++;
	t->session = s;
	t->began_at = now;
	TAILQ_INSERT_TAIL(&l->requests, t, link);
	send_request(l, t, now);
	return RATE_LIMIT_CLIENT_PENDING;
}

/* Cancels the session's request. */
void rate_limit_client_cancel(struct rate_limiter *l, const struct session *s)
{
	struct token_request *t;

	TAILQ_FOREACH(t, &l->requests, link)
	{
		if (t->session == s) {
			free_request(l, t);
			return;
		}
	}
}

/* Repeats requests without a response, or decides locally after the last. */
void rate_limit_client_tick(struct rate_limiter *l, usec_t now)
{
	struct token_request *next;
	struct token_request *t;

	for (t = TAILQ_FIRST(&l->requests); t; t = next) {
		next = TAILQ_NEXT(t, link);
		if (now - t->sent_at < REQUEST_RETRY_US)
			continue;
		if (t->n_sent < REQUEST_SENDS_MAX)
			send_request(l, t, now);
		else
			decide_locally(l, t, now);
	}
}

/* Handles a peer's request for one token: [id, team, rank]. */
void rate_limit_client_on_request(struct rate_limiter *l, struct wire_reader *r,
				  const struct sockaddr *from,
				  socklen_t from_len)
{
	uint64_t request_id = wire_u64(r);
	char team[NAME_MAX_BYTES];
	enum rate_limit_result result;
	uint64_t rank;
	msgpack_sbuffer buf;
	msgpack_packer p;
	usec_t retry_after = 0;

	wire_str(r, team, sizeof(team));
	rank = wire_u64(r);
	if (r->bad || rank >= RATE_LIMIT_RANKS)
		return;
	result = rate_limit_take(l->proxy->rate_limit, team,
				 (enum rate_limit_rank)rank, proxy_now(),
				 &retry_after);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_MSG_TOKEN_RESPONSE);
	msgpack_pack_uint64(&p, request_id);
	msgpack_pack_uint32(&p, result);
	msgpack_pack_uint64(&p, (uint64_t)retry_after);
	heartbeat_send_to(l->proxy->heartbeat, from, from_len, buf.data,
			  buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * Handles a response: [id, result, retry after]. A result of "not the keeper"
 * is ignored: the VMs soon agree on the keeper, and the request is sent again.
 */
void rate_limit_client_on_response(struct rate_limiter *l,
				   struct wire_reader *r)
{
	uint64_t request_id = wire_u64(r);
	uint64_t result = wire_u64(r);
	usec_t retry_after = (usec_t)wire_u64(r);
	struct session *s;
	struct token_request *t;

	if (r->bad ||
	    (result != RATE_LIMIT_GRANTED && result != RATE_LIMIT_REFUSED))
		return;
	TAILQ_FOREACH(t, &l->requests, link)
	{
		if (t->id == request_id)
			break;
	}
	if (!t)
		return;
	s = t->session;
	latency_add(LATENCY_LIMIT, proxy_now() - t->began_at);
	free_request(l, t);
	session_on_rate_result(s, result == RATE_LIMIT_GRANTED, retry_after);
}

/*
 * Sends the request to the team's current keeper. If that is this VM by now,
 * rate_limit_client_tick() decides locally.
 */
static void send_request(struct rate_limiter *l, struct token_request *t,
			 usec_t now)
{
	const char *team = t->session->team;
	const char *keeper = rate_limit_keeper(l->proxy->rate_limit, team);
	msgpack_sbuffer buf;
	msgpack_packer p;

	t->sent_at = now;
	t->n_sent++;
	if (!keeper) {
		t->n_sent = REQUEST_SENDS_MAX;
		return;
	}
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_MSG_TOKEN_REQUEST);
	msgpack_pack_uint64(&p, t->id);
	wire_put_str(&p, team);
	msgpack_pack_uint32(&p, session_rank(t->session, now));
	heartbeat_send(l->proxy->heartbeat, keeper, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Decides by itself, as the keeper has not responded in time. */
static void decide_locally(struct rate_limiter *l, struct token_request *t,
			   usec_t now)
{
	struct session *s = t->session;
	const char *keeper = rate_limit_keeper(l->proxy->rate_limit, s->team);
	usec_t retry_after = 0;
	bool ok = take_local_token(l, s, now, &retry_after);

	log_event(EV_LIMIT_ALONE,
		  "id=%s team=%s keeper=%s waited_us=%lld granted=%d",
		  s->exec.id, s->team, keeper ? keeper : "-",
		  (long long)(now - t->began_at), ok);
	free_request(l, t);
	session_on_rate_result(s, ok, retry_after);
}

/*
 * Takes a token from this VM's bucket if it is the team's keeper, otherwise
 * from its own even share of the team's rate.
 */
static bool take_local_token(struct rate_limiter *l, const struct session *s,
			     usec_t now, usec_t *retry_after)
{
	struct rate_limit *q = l->proxy->rate_limit;
	enum rate_limit_result result = rate_limit_take(
		q, s->team, session_rank(s, now), now, retry_after);

	if (result == RATE_LIMIT_NOT_KEEPER)
		return rate_limit_take_local(q, s->team, now,
					     proxy_random_unit(l->proxy),
					     retry_after);
	return result == RATE_LIMIT_GRANTED;
}

/* Removes and frees a request. */
static void free_request(struct rate_limiter *l, struct token_request *t)
{
	TAILQ_REMOVE(&l->requests, t, link);
	free(t);
}
