#include <stdlib.h>
#include <string.h>

#include "kernel/counters.h"
#include "kernel/fleet_internal.h"
#include "kernel/log.h"
#include "kernel/object_store.h"
#include "plugins/gossip_internal.h"

static void apply_response(struct gossip *g, const char *from,
			   uint64_t incarnation,
			   const struct gossip_response *a, usec_t sent_at);
static void respond(struct gossip *g, const char *to,
		    const struct gossip_request *req);
static void fill_objects(struct gossip *g, const struct gossip_request *req,
			 struct gossip_response *out);
static void fill_freshness(struct gossip *g, struct gossip_response *out);
static size_t object_size(void *ctx, const char *name);
static void send_reverse_request(struct gossip *g, const char *from,
				 uint64_t incarnation,
				 const struct anti_entropy_request *req);
static bool has_recent_request(const struct gossip *g, const char *name);
static void apply_objects(struct gossip *g, const struct gossip_response *a);
static void apply_freshness(struct gossip *g, const char *from,
			    const struct gossip_response *a, usec_t sent_at);
static void log_bad_message(const struct error *e, const char *from);

/*
 * Handles a peer's request: responds with the objects it lacks, and sends a
 * request in turn if the peer has objects that are missing here.
 */
void gossip_on_request(void *ctx, const char *from, uint64_t incarnation,
		       const void *body, size_t len)
{
	struct gossip *g = ctx;
	struct gossip_request req;
	struct error e = { 0 };

	if (gossip_request_decode(body, len, &req, &e)) {
		log_bad_message(&e, from);
		return;
	}
	gossip_apply_updates(g, &req.updates);
	respond(g, from, &req);
	send_reverse_request(g, from, incarnation, &req.anti_entropy);
}

/* Handles a peer's response, unless it matches no pending request. */
void gossip_on_response(void *ctx, const char *from, uint64_t incarnation,
			const void *body, size_t len)
{
	struct request_target next = { .incarnation = incarnation };
	struct gossip *g = ctx;
	struct gossip_response *a = malloc(sizeof(*a));
	struct pending_request pending;
	struct error e = { 0 };
	msgpack_unpacked u;

	if (!a)
		return;
	msgpack_unpacked_init(&u);
	if (gossip_response_decode(&u, body, len, a, &e)) {
		log_bad_message(&e, from);
	} else if (gossip_pending_take(g, a->id, from, &pending)) {
		gossip_apply_updates(g, &a->updates);
		/*
		 * The peer restarted: the cursor of its former incarnation
		 * would skip objects that were never sent.
		 */
		if (pending.resumed && pending.incarnation != incarnation) {
			memcpy(next.to, from, strlen(from) + 1);
			gossip_send_request(g, &next);
		} else {
			apply_response(g, from, incarnation, a,
				       pending.sent_at);
		}
	}
	msgpack_unpacked_destroy(&u);
	free(a);
}

/*
 * Applies one piece of a response, first the objects, then the peer's
 * freshness, and requests the next piece if there is one.
 */
static void apply_response(struct gossip *g, const char *from,
			   uint64_t incarnation,
			   const struct gossip_response *a, usec_t sent_at)
{
	struct request_target next = { .incarnation = incarnation };

	apply_objects(g, a);
	apply_freshness(g, from, a, sent_at);
	if (a->cursor.is_last)
		return;
	memcpy(next.to, from, strlen(from) + 1);
	next.cursor = a->cursor;
	gossip_send_request(g, &next);
}

/* Sends a peer the objects it lacks, this VM's freshness and member updates. */
static void respond(struct gossip *g, const char *to,
		    const struct gossip_request *req)
{
	struct gossip_response *a = calloc(1, sizeof(*a));
	msgpack_sbuffer buf;
	uint32_t i;

	if (!a)
		return;
	a->id = req->anti_entropy.id;
	fill_freshness(g, a);
	fill_objects(g, req, a);
	gossip_fill_updates(g, false, &a->updates);
	msgpack_sbuffer_init(&buf);
	gossip_response_encode(&buf, a);
	peer_send(g->kernel, to, PEER_GOSSIP_REPLY, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	for (i = 0; i < a->n_objects; i++)
		free((char *)a->objects[i].body);
	free(a);
}

/*
 * Fills in the objects that the requester lacks. An object that is newer in the
 * store than in the version table is sent with revision 0, as the revision of
 * the newer version is not known. Takes the lock.
 */
static void fill_objects(struct gossip *g, const struct gossip_request *req,
			 struct gossip_response *out)
{
	struct anti_entropy_object due[GOSSIP_OBJECTS_MAX];
	struct store *s = g->kernel->store;
	size_t n, i;

	apr_thread_mutex_lock(g->lock);
	n = anti_entropy_respond(g->versions, &req->anti_entropy, due,
				 GOSSIP_OBJECTS_MAX, GOSSIP_BODIES_BYTES,
				 object_size, s, &out->cursor);
	for (i = 0; i < n; i++) {
		struct gossip_object *o = &out->objects[out->n_objects];

		o->body = store_get(s, due[i].name, &o->version);
		if (!o->body)
			continue;
		memcpy(o->name, due[i].name, sizeof(due[i].name));
		o->body_len = strlen(o->body);
		o->revision =
			o->version == due[i].version ? due[i].revision : 0;
		out->n_objects++;
	}
	apr_thread_mutex_unlock(g->lock);
}

/*
 * Fills in the age of this VM's data from the platform and of its last contact
 * with each failure domain. Must run before the objects are filled in, so that
 * these include everything the stated age covers. Takes the fleet's lock.
 */
static void fill_freshness(struct gossip *g, struct gossip_response *out)
{
	struct fleet *f = g->kernel->fleet;
	usec_t now = clock_now();
	uint32_t i;

	fleet_lock(f);
	out->platform_age_us = freshness_platform_age(&f->fresh, now);
	for (i = 1; i < f->fresh.n; i++) {
		struct gossip_contact *c = &out->contacts[out->n_contacts];

		if (f->fresh.domain[i].at == INT64_MIN)
			continue;
		memcpy(c->domain, f->fresh.domain[i].name, sizeof(c->domain));
		c->age_us = now - f->fresh.domain[i].at;
		out->n_contacts++;
	}
	fleet_unlock(f);
}

/* Returns the size of an object's body in bytes. */
static size_t object_size(void *ctx, const char *name)
{
	return store_body_size(ctx, name);
}

/*
 * Sends a request to a peer that has objects missing here, unless one that was
 * sent to it within REVERSE_REQUEST_GAP_US is pending. Takes the lock.
 */
static void send_reverse_request(struct gossip *g, const char *from,
				 uint64_t incarnation,
				 const struct anti_entropy_request *req)
{
	struct request_target t = { .incarnation = incarnation };
	bool lacks;

	apr_thread_mutex_lock(g->lock);
	lacks = req->complete > anti_entropy_complete(g->versions) ||
		!anti_entropy_has_all(g->versions, req);
	lacks = lacks && !has_recent_request(g, from);
	apr_thread_mutex_unlock(g->lock);
	if (!lacks)
		return;
	memcpy(t.to, from, strlen(from) + 1);
	gossip_send_request(g, &t);
}

/*
 * Returns whether a request sent to the VM within REVERSE_REQUEST_GAP_US is
 * pending. The lock is held.
 */
static bool has_recent_request(const struct gossip *g, const char *name)
{
	usec_t now = clock_now();
	size_t i;

	for (i = 0; i < PENDING_MAX; i++) {
		const struct pending_request *a = &g->pending[i];

		if (a->id && now - a->sent_at < REVERSE_REQUEST_GAP_US &&
		    strcmp(a->name, name) == 0)
			return true;
	}
	return false;
}

/*
 * Offers each object to the store. After the last piece everything up to the
 * cursor's revision is complete here. Takes the lock.
 */
static void apply_objects(struct gossip *g, const struct gossip_response *a)
{
	struct error e;
	uint32_t i;
	char *body;

	for (i = 0; i < a->n_objects; i++) {
		const struct gossip_object *o = &a->objects[i];

		body = strndup(o->body ? o->body : "", o->body_len);
		if (!body)
			return;
		gossip_apply_object(g->kernel, o->name, o->version, o->revision,
				    body, &e);
		free(body);
	}
	if (!a->cursor.is_last)
		return;
	apr_thread_mutex_lock(g->lock);
	anti_entropy_set_complete(g->versions, a->cursor.complete_to);
	apr_thread_mutex_unlock(g->lock);
}

/*
 * Adopts the freshness of the peer and of its contacts. The age of its data
 * counts only if this response held everything that the peer had. Takes the
 * fleet's lock.
 */
static void apply_freshness(struct gossip *g, const char *from,
			    const struct gossip_response *a, usec_t sent_at)
{
	struct fleet *f = g->kernel->fleet;
	const struct member *peer;
	uint32_t i;

	fleet_lock(f);
	peer = membership_get(f->members, membership_find(f->members, from));
	if (peer) {
		freshness_on_peer_report(
			&f->fresh, peer->domain, sent_at,
			a->cursor.is_up_to_date ? a->platform_age_us : -1);
		/* A peer whose own data may not be relied on proves nothing. */
		for (i = 0; i < a->n_contacts && a->platform_age_us >= 0; i++)
			freshness_on_domain_contact(
				&f->fresh, a->contacts[i].domain, sent_at,
				a->contacts[i].age_us);
	}
	fleet_unlock(f);
}

/* Counts and logs a message body that could not be decoded. */
static void log_bad_message(const struct error *e, const char *from)
{
	struct error named = *e;

	memcpy(named.peer, from, strlen(from) + 1);
	counter_add(CTR_PEER_BAD, 1);
	log_error(EV_PEER_BAD_MESSAGE, &named);
}
