#ifndef PLUGINS_GOSSIP_CODEC_H
#define PLUGINS_GOSSIP_CODEC_H

#include <msgpack.h>

#include "decide/freshness.h"
#include "decide/anti_entropy.h"
#include "kernel/platform.h"

#define GOSSIP_UPDATES_MAX 12
#define GOSSIP_OBJECTS_MAX 64
/* Total size of the bodies in one response; a larger object is sent alone. */
#define GOSSIP_BODIES_BYTES 65536

/* Member updates, at most one for each VM. */
struct gossip_updates {
	uint32_t n;
	struct member_update item[GOSSIP_UPDATES_MAX];
};

/* A request: says what the sender has, so that the peer can send the rest. */
struct gossip_request {
	struct anti_entropy_request anti_entropy;
	struct gossip_updates updates;
};

struct gossip_object {
	char name[OBJECT_NAME_BYTES];
	uint64_t version;
	uint64_t revision;
	const char *body; /* after decoding it points into the message, without
			     NUL */
	size_t body_len;
};

/* The sender's last contact with a failure domain. */
struct gossip_contact {
	char domain[NAME_MAX_BYTES];
	int64_t age_us;
};

/*
 * A response: objects, the cursor up to which they are sent, member updates
 * and the sender's freshness.
 */
struct gossip_response {
	uint64_t id; /* id of the request */
	struct anti_entropy_cursor cursor;
	int64_t platform_age_us; /* age of the sender's data from the platform;
				    negative: it has none */
	uint32_t n_contacts;
	struct gossip_contact contacts[FRESHNESS_DOMAINS_MAX];
	struct gossip_updates updates;
	uint32_t n_objects;
	struct gossip_object objects[GOSSIP_OBJECTS_MAX];
};

/*
 * A push of an object, or its acknowledgement, which carries the version that
 * the acknowledging VM holds.
 */
struct gossip_push {
	uint64_t id;
	struct gossip_object object; /* without a body in PEER_OBJECT_ACK */
};

void gossip_request_encode(msgpack_sbuffer *out,
			   const struct gossip_request *a);
int gossip_request_decode(const void *buf, size_t len,
			  struct gossip_request *out, struct error *e);
void gossip_response_encode(msgpack_sbuffer *out,
			    const struct gossip_response *a);
/* The bodies point into "u", which the caller initialises and destroys. */
int gossip_response_decode(msgpack_unpacked *u, const void *buf, size_t len,
			   struct gossip_response *out, struct error *e);
void gossip_push_encode(msgpack_sbuffer *out, const struct gossip_push *t);
int gossip_push_decode(msgpack_unpacked *u, const void *buf, size_t len,
		       struct gossip_push *out, struct error *e);

#endif
