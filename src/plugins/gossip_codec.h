#ifndef PLUGINS_GOSSIP_CODEC_H
#define PLUGINS_GOSSIP_CODEC_H

#include <msgpack.h>

#include "decide/freshness.h"
#include "decide/spread.h"
#include "kernel/platform.h"

#define GOSSIP_NEWS_MAX	   12
#define GOSSIP_OBJECTS_MAX 64
/* Bodies in one answer; one larger object may go alone. */
#define GOSSIP_BODIES_BYTES 65536

/* News of VMs. */
struct gossip_news {
	uint32_t n;
	struct member_news item[GOSSIP_NEWS_MAX];
};

/* A question: what the asker has, so that the peer can tell what it lacks. */
struct gossip_ask {
	struct spread_ask spread;
	struct gossip_news news;
};

struct gossip_object {
	char name[OBJECT_NAME_BYTES];
	uint64_t version;
	uint64_t revision;
	const char *body; /* decoded: into the message, not NUL-terminated */
	size_t body_len;
};

struct gossip_contact {
	char domain[NAME_MAX_BYTES];
	int64_t age_us;
};

/* The answer: objects, how far they go, and what the peer knows lately. */
struct gossip_answer {
	uint64_t id; /* of the question */
	struct spread_cursor cursor;
	int64_t word_age_us; /* negative: no word of the platform */
	uint32_t n_contacts;
	struct gossip_contact contacts[FRESHNESS_DOMAINS_MAX];
	struct gossip_news news;
	uint32_t n_objects;
	struct gossip_object objects[GOSSIP_OBJECTS_MAX];
};

/* An object just written, and the version of it that a peer then knows. */
struct gossip_tell {
	uint64_t id;
	struct gossip_object object; /* PEER_TOLD: without a body */
};

void gossip_ask_encode(msgpack_sbuffer *out, const struct gossip_ask *a);
int gossip_ask_decode(const void *buf, size_t len, struct gossip_ask *out,
		      struct error *e);
void gossip_answer_encode(msgpack_sbuffer *out, const struct gossip_answer *a);
/* "u" keeps the bodies; the caller initialises and destroys it. */
int gossip_answer_decode(msgpack_unpacked *u, const void *buf, size_t len,
			 struct gossip_answer *out, struct error *e);
void gossip_tell_encode(msgpack_sbuffer *out, const struct gossip_tell *t);
int gossip_tell_decode(msgpack_unpacked *u, const void *buf, size_t len,
		       struct gossip_tell *out, struct error *e);

#endif
