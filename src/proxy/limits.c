#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/latency.h"
#include "kernel/log.h"
#include "kernel/wire.h"
#include "proxy/proxy_own.h"

/*
 * Takes a token of a team's limit for each operation, from the VM that keeps
 * the team. A question is one datagram, its answer another; one that is lost
 * is asked again. The rules are those of decide/quota.
 */

/* A question without an answer is asked again after some ten round trips
 * between failure domains, with the wait for a busy VM's thread. */
#define ASK_AGAIN_US (60 * USEC_PER_MSEC)
/* Questions before the VM decides by itself. */
#define ASK_TRIES 3

struct ask {
	TAILQ_ENTRY(ask) link;
	uint64_t number;
	struct session *session;
	usec_t began_at;
	usec_t sent_at;
	uint32_t tries;
};

struct limits {
	struct proxy *proxy;
	uint64_t next; /* number; no other incarnation has used it */
	TAILQ_HEAD(, ask) asks;
};

static void send_ask(struct limits *l, struct ask *a, usec_t now);
static void decide_alone(struct limits *l, struct ask *a, usec_t now);
static bool grant_here(struct limits *l, const char *team, usec_t now,
		       usec_t *retry_after);
static void end_ask(struct limits *l, struct ask *a);

/* Makes the client of limits; NULL if memory is short. */
struct limits *limits_create(struct proxy *p)
{
	struct limits *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->proxy = p;
	l->next = p->kernel->incarnation << 16;
	TAILQ_INIT(&l->asks);
	return l;
}

/*
 * Takes a token for the session's operation. PENDING: session_admitted() is
 * called later, once. If refused, "retry_after" is when to come back.
 */
enum limits_answer limits_take(struct limits *l, struct session *s,
			       usec_t *retry_after)
{
	usec_t now = proxy_now();
	struct ask *a;

	if (!l->proxy->vms_known) {
		/* Who keeps a team is not known yet. */
		*retry_after = USEC_PER_SEC;
		return LIMITS_REFUSED;
	}
	if (!quota_keeper(l->proxy->quota, s->team))
		return grant_here(l, s->team, now, retry_after)
			       ? LIMITS_GRANTED
			       : LIMITS_REFUSED;
	a = calloc(1, sizeof(*a));
	if (!a) {
		*retry_after = USEC_PER_SEC;
		return LIMITS_REFUSED;
	}
	a->number = l->next++;
	a->session = s;
	a->began_at = now;
	TAILQ_INSERT_TAIL(&l->asks, a, link);
	send_ask(l, a, now);
	return LIMITS_PENDING;
}

/* The session needs no answer any more. */
void limits_cancel(struct limits *l, const struct session *s)
{
	struct ask *a;

	TAILQ_FOREACH(a, &l->asks, link)
	{
		if (a->session == s) {
			end_ask(l, a);
			return;
		}
	}
}

/* Asks again what was not answered, or decides alone. */
void limits_tick(struct limits *l, usec_t now)
{
	struct ask *next;
	struct ask *a;

	for (a = TAILQ_FIRST(&l->asks); a; a = next) {
		next = TAILQ_NEXT(a, link);
		if (now - a->sent_at < ASK_AGAIN_US)
			continue;
		if (a->tries < ASK_TRIES)
			send_ask(l, a, now);
		else
			decide_alone(l, a, now);
	}
}

/* A peer asks for one token: [number, team]. */
void limits_take_ask(struct limits *l, struct wire_reader *r,
		     const struct sockaddr *from, socklen_t from_len)
{
	uint64_t number = wire_u64(r);
	char team[NAME_MAX_BYTES];
	enum quota_answer answer;
	msgpack_sbuffer buf;
	msgpack_packer p;
	usec_t later = 0;

	wire_str(r, team, sizeof(team));
	if (r->bad)
		return;
	answer = quota_grant(l->proxy->quota, team, proxy_now(), &later);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 4);
	msgpack_pack_uint32(&p, PEER_GRANT);
	msgpack_pack_uint64(&p, number);
	msgpack_pack_uint32(&p, answer);
	msgpack_pack_uint64(&p, (uint64_t)later);
	beacon_reply(l->proxy->beacon, from, from_len, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * An answer: [number, answer, retry after]. One of a VM that does not keep the
 * team is passed over: this VM or that one will soon know better.
 */
void limits_take_grant(struct limits *l, struct wire_reader *r)
{
	uint64_t number = wire_u64(r);
	uint64_t answer = wire_u64(r);
	usec_t later = (usec_t)wire_u64(r);
	struct session *s;
	struct ask *a;

	if (r->bad || (answer != QUOTA_GRANTED && answer != QUOTA_REFUSED))
		return;
	TAILQ_FOREACH(a, &l->asks, link)
	{
		if (a->number == number)
			break;
	}
	if (!a)
		return;
	s = a->session;
	latency_add(LATENCY_LIMIT, proxy_now() - a->began_at);
	end_ask(l, a);
	session_admitted(s, answer == QUOTA_GRANTED, later);
}

/* Sends the question to whoever keeps the team now; this VM may by now. */
static void send_ask(struct limits *l, struct ask *a, usec_t now)
{
	const char *team = a->session->team;
	const char *keeper = quota_keeper(l->proxy->quota, team);
	msgpack_sbuffer buf;
	msgpack_packer p;

	a->sent_at = now;
	a->tries++;
	if (!keeper) {
		a->tries = ASK_TRIES;
		return;
	}
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 3);
	msgpack_pack_uint32(&p, PEER_ASK);
	msgpack_pack_uint64(&p, a->number);
	wire_put_str(&p, team);
	beacon_send(l->proxy->beacon, keeper, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Nobody answered in time. */
static void decide_alone(struct limits *l, struct ask *a, usec_t now)
{
	struct session *s = a->session;
	const char *keeper = quota_keeper(l->proxy->quota, s->team);
	usec_t later = 0;
	bool ok = grant_here(l, s->team, now, &later);

	log_event(EV_LIMIT_ALONE,
		  "id=%s team=%s keeper=%s waited_us=%lld granted=%d",
		  s->task.id, s->team, keeper ? keeper : "-",
		  (long long)(now - a->began_at), ok);
	end_ask(l, a);
	session_admitted(s, ok, later);
}

/* As the team's keeper, or from this VM's even part if it is none. */
static bool grant_here(struct limits *l, const char *team, usec_t now,
		       usec_t *retry_after)
{
	struct quota *q = l->proxy->quota;
	enum quota_answer answer = quota_grant(q, team, now, retry_after);

	if (answer == QUOTA_NOT_KEPT)
		return quota_reserve(q, team, now, proxy_draw(l->proxy),
				     retry_after);
	return answer == QUOTA_GRANTED;
}

static void end_ask(struct limits *l, struct ask *a)
{
	TAILQ_REMOVE(&l->asks, a, link);
	free(a);
}
