#include <string.h>

#include "kernel/wire.h"
#include "proxy/heartbeat_internal.h"

/*
 * Reads of the configuration, as VMs tell each other of them: in a datagram of
 * their own, and in heartbeats. To whom is decided by decide/confirmation.
 */

static bool is_told(const struct heartbeat *b, const struct peer_vm *v,
		    enum confirmation_audience to);

/* Returns the hash of this VM's name, as in heartbeats. */
uint32_t heartbeat_own_hash(const struct heartbeat *b)
{
	return heartbeat_name_hash(b->proxy->kernel->settings.vm);
}

/* Returns the name of a peer by its hash; NULL if it is unknown. */
const char *heartbeat_name_of(const struct heartbeat *b, uint32_t hash)
{
	const struct peer_vm *v = heartbeat_find_hash(b, hash);

	return v ? v->name : NULL;
}

/* Returns true if a VM is this one or a peer in its failure domain. */
bool heartbeat_is_in_domain(const struct heartbeat *b, uint32_t hash)
{
	const struct peer_vm *v = heartbeat_find_hash(b, hash);

	if (hash == heartbeat_own_hash(b))
		return true;
	return v && strcmp(v->domain, b->proxy->kernel->settings.domain) == 0;
}

/*
 * Sends [type, VM that read, number of the read, its age in ms, datagrams that
 * have told it, version, hash of the contents], some 30 bytes, to each live VM
 * of the audience. What the socket does not take is lost.
 */
void heartbeat_send_read(struct heartbeat *b,
			 const struct confirmation_told *told,
			 enum confirmation_audience to)
{
	msgpack_packer packer;
	msgpack_sbuffer buf;
	uint32_t i;

	if (to == CONFIRMATION_TO_NOBODY)
		return;
	heartbeat_update_readers(b);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&packer, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 7);
	msgpack_pack_uint32(&packer, PEER_MSG_READ);
	heartbeat_pack_read(&packer, told);
	msgpack_pack_uint64(&packer, told->data.version);
	msgpack_pack_uint64(&packer, told->data.contents);
	for (i = 0; i < b->n; i++) {
		const struct peer_vm *v = b->peers[i];

		if (is_told(b, v, to))
			heartbeat_send_to(b, (const struct sockaddr *)&v->addr,
					  v->addr_len, buf.data, buf.size);
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Returns true if a peer is live and belongs to the audience of a read. */
static bool is_told(const struct heartbeat *b, const struct peer_vm *v,
		    enum confirmation_audience to)
{
	if (v->silent)
		return false;
	if (to == CONFIRMATION_TO_DOMAIN_AND_READERS && v->is_reader)
		return true;
	return strcmp(v->domain, b->proxy->kernel->settings.domain) == 0;
}

/*
 * Encodes four fields of a read: VM that read, number of the read, its age in
 * ms, datagrams that have told it.
 */
void heartbeat_pack_read(msgpack_packer *p, const struct confirmation_told *t)
{
	msgpack_pack_uint32(p, t->id.vm);
	msgpack_pack_uint32(p, t->id.number);
	msgpack_pack_uint64(p, t->age_ms);
	msgpack_pack_uint32(p, t->hops);
}

/*
 * Decodes these fields. The reader is bad if a number is out of range. A read
 * that was told too often keeps a number of datagrams that counts as too many.
 */
void heartbeat_unpack_read(const struct heartbeat *b, struct wire_reader *r,
			   struct confirmation_told *out)
{
	uint64_t vm = wire_u64(r);
	uint64_t number = wire_u64(r);
	uint64_t age_ms = wire_u64(r);
	uint64_t hops = wire_u64(r);

	*out = (struct confirmation_told){
		.id = { .vm = (uint32_t)vm, .number = (uint32_t)number },
		.age_ms = heartbeat_arrived_age(b, age_ms),
		.hops = hops < CONFIRMATION_HOPS_MAX ? (uint32_t)hops
						     : CONFIRMATION_HOPS_MAX,
	};
	r->bad |= vm > UINT32_MAX || number > UINT32_MAX;
}

/* Handles a datagram with a read; a malformed one is counted and dropped. */
void heartbeat_on_read(struct heartbeat *b, struct wire_reader *r)
{
	struct confirmation_told told;

	heartbeat_unpack_read(b, r, &told);
	told.data.version = wire_u64(r);
	told.data.contents = wire_u64(r);
	if (!r->bad)
		registry_on_peer_read(b->proxy->registry, &told, proxy_now());
}

/*
 * Adds to an age that a datagram tells the time since the last tick, for which
 * the datagram may have waited: that is long if this VM was suspended. An age
 * that is too long stays so.
 */
uint64_t heartbeat_arrived_age(const struct heartbeat *b, uint64_t age_ms)
{
	usec_t waited = b->arrived_after ? proxy_now() - b->arrived_after : 0;
	uint64_t waited_ms = (uint64_t)waited / USEC_PER_MSEC;

	return age_ms > UINT64_MAX - waited_ms ? UINT64_MAX
					       : age_ms + waited_ms;
}
