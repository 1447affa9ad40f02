#include "kernel/engine_internal.h"

#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/forward_codec.h"
#include "kernel/log.h"
#include "kernel/peer.h"

/* A request from another VM, and where its response goes. */
struct forwarded_request {
	struct engine *engine;
	char from[NAME_MAX_BYTES];
	uint64_t incarnation;
	uint64_t id;
	struct request *request;
};

/* A response on its way to the shard that waits for it. */
struct forward_response {
	struct shard *shard;
	uint64_t id;
	struct answer answer;
};

static void on_forward(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len);
static void on_response(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len);
static void start_forwarded(void *ctx);
static bool is_duplicate(struct shard *s, uint64_t incarnation, uint64_t id);
static void send_response(struct request *r);
static void deliver_response(void *ctx);
static void log_bad_message(const char *from, enum peer_type type);

/* Registers the handlers for forwarded requests and their responses. */
void forward_start(struct engine *e)
{
	peer_set_handler(e->kernel, PEER_FORWARD, on_forward, e);
	peer_set_handler(e->kernel, PEER_FORWARD_REPLY, on_response, e);
}

/*
 * Forwards a request to the VM that holds its transaction. The shard's lock is
 * held.
 */
void forward_request(struct exec *exec, const char *vm)
{
	struct shard *s = exec->group->shard;
	msgpack_sbuffer buf;

	exec->stage = EXEC_FORWARDED;
	exec->forward_id = __atomic_add_fetch(&s->engine->forward_next_id, 1,
					      __ATOMIC_RELAXED);
	exec->attempts++;
	exec_list_add(&s->forwarded, exec);
	loop_timer_set(s->loop, &exec->timer, exec->request->deadline);
	counter_add(CTR_FORWARDS, 1);
	msgpack_sbuffer_init(&buf);
	forward_pack(&buf, exec->forward_id, exec->request, clock_now());
	peer_send(s->kernel, vm, PEER_FORWARD, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/*
 * Ends a forwarded request that got no response in time; its outcome is
 * unknown. The shard's lock is held.
 */
void forward_timed_out(struct exec *exec)
{
	exec_finish(exec, OUTCOME_UNKNOWN, ERR_UNKNOWN, STEP_FORWARD, "",
		    "no answer from the VM that holds the transaction");
}

/* Receives a request from another VM. Peer thread. */
static void on_forward(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	struct engine *e = ctx;
	struct forwarded_request *f = calloc(1, sizeof(*f));

	if (!f)
		return;
	f->request = forward_unpack(body, len, &f->id, clock_now());
	if (!f->request) {
		log_bad_message(from, PEER_FORWARD);
		free(f);
		return;
	}
	f->engine = e;
	memcpy(f->from, from, strnlen(from, sizeof(f->from) - 1));
	f->incarnation = incarnation;
	f->request->done = send_response;
	f->request->ctx = f;
	loop_post(engine_shard(e, f->request->service)->loop, start_forwarded,
		  f);
}

/*
 * Starts a request from another VM, unless it is a duplicate. Runs on the
 * shard's loop; takes the lock.
 */
static void start_forwarded(void *ctx)
{
	struct forwarded_request *f = ctx;
	struct request *r = f->request;
	struct shard *s = engine_shard(f->engine, r->service);
	bool duplicate;

	shard_lock(s);
	duplicate = is_duplicate(s, f->incarnation, f->id);
	shard_unlock(s);
	if (duplicate) {
		request_destroy(r);
		free(f);
		return;
	}
	r->owner_shard = s;
	__atomic_add_fetch(&s->requests, 1, __ATOMIC_RELAXED);
	exec_start(r);
}

/*
 * Returns whether a forwarded request was received before, and records it. The
 * shard's lock is held.
 */
static bool is_duplicate(struct shard *s, uint64_t incarnation, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < FORWARDS_SEEN_MAX; i++) {
		if (s->forwards_seen[i].incarnation == incarnation &&
		    s->forwards_seen[i].id == id)
			return true;
	}
	s->forwards_seen[s->forwards_seen_next] = (struct forward_seen){
		.incarnation = incarnation,
		.id = id,
	};
	s->forwards_seen_next = (s->forwards_seen_next + 1) % FORWARDS_SEEN_MAX;
	return false;
}

/* Sends the response to the VM that forwarded the request. */
static void send_response(struct request *r)
{
	struct forwarded_request *f = r->ctx;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	forward_pack_answer(&buf, f->id, r);
	peer_send(f->engine->kernel, f->from, PEER_FORWARD_REPLY, buf.data,
		  buf.size);
	msgpack_sbuffer_destroy(&buf);
	request_destroy(r);
	free(f);
}

/* Receives a response from another VM. Peer thread. */
static void on_response(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len)
{
	struct engine *e = ctx;
	struct forward_response *a = calloc(1, sizeof(*a));
	char service[NAME_MAX_BYTES];

	(void)incarnation;
	if (!a)
		return;
	if (forward_unpack_answer(body, len, &a->id, service, &a->answer)) {
		log_bad_message(from, PEER_FORWARD_REPLY);
		free(a);
		return;
	}
	a->shard = engine_shard(e, service);
	loop_post(a->shard->loop, deliver_response, a);
}

/*
 * Completes the request that waits for a response; a late response is dropped.
 * Runs on the shard's loop; takes the lock.
 */
static void deliver_response(void *ctx)
{
	struct forward_response *a = ctx;
	struct shard *s = a->shard;
	struct answer *to;
	struct exec *exec;

	shard_lock(s);
	for (exec = s->forwarded.first; exec; exec = exec->next) {
		if (exec->forward_id == a->id)
			break;
	}
	if (exec) {
		to = &exec->request->answer;
		to->rows = a->answer.rows;
		to->from_replica = a->answer.from_replica;
		to->at = a->answer.at;
		to->age_us = a->answer.age_us;
		to->retry_after_ms = a->answer.retry_after_ms;
		exec_finish(exec, a->answer.outcome, a->answer.error.code,
			    a->answer.error.step, a->answer.error.peer,
			    a->answer.error.message);
	} else {
		free(a->answer.rows);
	}
	shard_unlock(s);
	free(a);
}

/* Counts and logs a malformed message. */
static void log_bad_message(const char *from, enum peer_type type)
{
	counter_add(CTR_PEER_BAD, 1);
	log_event(EV_PEER_BAD_MESSAGE, "from=%s type=%d", from, (int)type);
}
