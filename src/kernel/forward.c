#include "kernel/engine_own.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/forward_codec.h"
#include "kernel/log.h"
#include "kernel/peer.h"

/* A request that came from another VM, and where its answer goes. */
struct forwarded {
	struct engine *engine;
	char from[NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t id;
	struct request *request;
};

/* An answer on its way to the shard that waits for it. */
struct forward_answer {
	struct shard *shard;
	uint64_t id;
	struct answer answer;
};

static void on_forward(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void on_answer(void *ctx, const char *from, uint64_t incarnation,
		      const void *body, size_t len);
static void take_forward(void *ctx);
static bool seen_before(struct shard *s, uint64_t incarnation, uint64_t id);
static void on_done(struct request *r);
static void take_answer(void *ctx);
static void bad_message(const char *from, enum peer_type type);

/* Takes requests and answers of other VMs. */
void forward_start(struct engine *e)
{
	peer_handle(e->kernel, PEER_FORWARD, on_forward, e);
	peer_handle(e->kernel, PEER_FORWARD_REPLY, on_answer, e);
}

/* Passes a request on to the VM that holds its transaction. Shard's lock. */
void forward_run(struct run *run, const char *vm)
{
	struct shard *s = run->group->shard;
	msgpack_sbuffer buf;

	run->stage = RUN_FORWARDED;
	run->forward_id = __atomic_add_fetch(&s->engine->forward_numbers, 1,
					     __ATOMIC_RELAXED);
	run->attempts++;
	run_list_add(&s->forwarded, run);
	loop_timer_set(s->loop, &run->timer, run->r->deadline);
	counter_add(CTR_FORWARDS, 1);
	msgpack_sbuffer_init(&buf);
	forward_pack(&buf, run->forward_id, run->r, clock_now());
	peer_send(s->kernel, vm, PEER_FORWARD, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* No answer came in time: what happened there is not known. Shard's lock. */
void forward_overdue(struct run *run)
{
	run_finish(run, OUTCOME_UNKNOWN, ERR_UNKNOWN, STEP_FORWARD, "",
		   "no answer from the VM that holds the transaction");
}

/* Peer thread: a request of another VM. */
static void on_forward(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	struct engine *e = ctx;
	struct forwarded *f = calloc(1, sizeof(*f));

	if (!f)
		return;
	f->request = forward_unpack(body, len, &f->id, clock_now());
	if (!f->request) {
		bad_message(from, PEER_FORWARD);
		free(f);
		return;
	}
	f->engine = e;
	memcpy(f->from, from, strnlen(from, sizeof(f->from) - 1));
	f->incarnation = incarnation;
	f->request->done = on_done;
	f->request->ctx = f;
	loop_post(engine_shard(e, f->request->service)->loop, take_forward, f);
}

/* The shard's loop: runs a request of another VM, once. Takes the lock. */
static void take_forward(void *ctx)
{
	struct forwarded *f = ctx;
	struct request *r = f->request;
	struct shard *s = engine_shard(f->engine, r->service);
	bool again;

	shard_lock(s);
	again = seen_before(s, f->incarnation, f->id);
	shard_unlock(s);
	if (again) {
		request_destroy(r);
		free(f);
		return;
	}
	r->engine = s;
	__atomic_add_fetch(&s->runs, 1, __ATOMIC_RELAXED);
	run_start(r);
}

/* Has this message come before? Remembers it. Shard's lock. */
static bool seen_before(struct shard *s, uint64_t incarnation, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < FORWARDS_SEEN; i++) {
		if (s->seen[i].incarnation == incarnation &&
		    s->seen[i].id == id)
			return true;
	}
	s->seen[s->seen_next] = (struct forward_seen){
		.incarnation = incarnation,
		.id = id,
	};
	s->seen_next = (s->seen_next + 1) % FORWARDS_SEEN;
	return false;
}

/* Sends the answer back to the VM that asked. */
static void on_done(struct request *r)
{
	struct forwarded *f = r->ctx;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	forward_pack_answer(&buf, f->id, r);
	peer_send(f->engine->kernel, f->from, PEER_FORWARD_REPLY, buf.data,
		  buf.size);
	msgpack_sbuffer_destroy(&buf);
	request_destroy(r);
	free(f);
}

/* Peer thread: an answer from another VM. */
static void on_answer(void *ctx, const char *from, uint64_t incarnation,
		      const void *body, size_t len)
{
	struct engine *e = ctx;
	struct forward_answer *a = calloc(1, sizeof(*a));
	char service[NAME_MAX_BYTES];

	(void)incarnation;
	if (!a)
		return;
	if (forward_unpack_answer(body, len, &a->id, service, &a->answer)) {
		bad_message(from, PEER_FORWARD_REPLY);
		free(a);
		return;
	}
	a->shard = engine_shard(e, service);
	loop_post(a->shard->loop, take_answer, a);
}

/* The shard's loop: ends the request that waits for it. Takes the lock. */
static void take_answer(void *ctx)
{
	struct forward_answer *a = ctx;
	struct shard *s = a->shard;
	struct answer *to;
	struct run *run;

	shard_lock(s);
	for (run = s->forwarded.first; run; run = run->next) {
		if (run->forward_id == a->id)
			break;
	}
	if (run) {
		to = &run->r->answer;
		to->rows = a->answer.rows;
		to->from_replica = a->answer.from_replica;
		to->at = a->answer.at;
		to->age_us = a->answer.age_us;
		to->retry_after_ms = a->answer.retry_after_ms;
		run_finish(run, a->answer.outcome, a->answer.error.code,
			   a->answer.error.step, a->answer.error.peer,
			   a->answer.error.message);
	} else {
		free(a->answer.rows);
	}
	shard_unlock(s);
	free(a);
}

/* Counts and logs a message that cannot be read. */
static void bad_message(const char *from, enum peer_type type)
{
	counter_add(CTR_PEER_BAD, 1);
	log_event(EV_PEER_BAD_MESSAGE, "from=%s type=%d", from, (int)type);
}
