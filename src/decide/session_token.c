#include "decide/session_token.h"

#include <msgpack.h>
#include <sodium.h>
#include <string.h>

#define TOKEN_VERSION	 1
#define TOKEN_FIELDS	 5
#define ENTRY_FIELDS	 4
#define MAC_BYTES	 crypto_generichash_BYTES
#define TOKEN_RAW_BYTES	 ((SESSION_TOKEN_TEXT_BYTES - 1) / 4 * 3)
#define TOKEN_BODY_BYTES (TOKEN_RAW_BYTES - MAC_BYTES)
#define BASE64		 sodium_base64_VARIANT_URLSAFE_NO_PADDING

/* Packed body of a token, without the MAC. */
struct body {
	size_t n;
	uint8_t bytes[TOKEN_BODY_BYTES];
};

static int body_write(void *ctx, const char *bytes, size_t n);
static int body_pack(const struct session_token *t, int64_t wall_us,
		     struct body *b);
static int pack_text(msgpack_packer *pk, const char *text);
static bool body_unpack(struct session_token *t, const uint8_t *bytes,
			size_t n);
static bool read_token(struct session_token *t, const msgpack_object *o);
static bool read_entry(struct session_token_entry *e, const msgpack_object *o);
static bool read_text(char text[NAME_MAX_BYTES], const msgpack_object *o);
static bool read_uint(uint64_t *v, const msgpack_object *o);
static bool mac_is_valid(const uint8_t *raw, size_t n, const uint8_t *secret);
static struct session_token_entry *use_entry(struct session_token *t,
					     const char *service);
static void evict_oldest(struct session_token *t);

/* Starts the token of a new session of a team. */
void session_token_init(struct session_token *t, const char *team)
{
	memset(t, 0, sizeof(*t));
	strncpy(t->team, team, sizeof(t->team) - 1);
}

/*
 * Encodes a token as text: base64 of a keyed BLAKE2b-256 MAC and a msgpack
 * body. If the body does not fit, the least recently used entries are evicted
 * from the encoded token, which is then marked as such. Returns 0, or -1 if not
 * even a token without entries fits.
 */
int session_token_encode(const struct session_token *t,
			 const struct session_token_keys *keys, int64_t wall_us,
			 char text[SESSION_TOKEN_TEXT_BYTES])
{
	struct session_token fit = *t;
	uint8_t raw[TOKEN_RAW_BYTES];
	struct body b;

	text[0] = '\0';
	while (body_pack(&fit, wall_us, &b) < 0) {
		if (fit.n == 0)
			return -1;
		evict_oldest(&fit);
	}
	crypto_generichash(raw, MAC_BYTES, b.bytes, b.n, keys->current,
			   SESSION_TOKEN_SECRET_BYTES);
	memcpy(raw + MAC_BYTES, b.bytes, b.n);
	sodium_bin2base64(text, SESSION_TOKEN_TEXT_BYTES, raw, MAC_BYTES + b.n,
			  BASE64);
	return 0;
}

/*
 * Decodes a token that came with a request of "team". Unless the result is
 * SESSION_TOKEN_OK, "t" is a valid session without entries. The body is not
 * parsed before its MAC is verified with the current or the previous secret.
 */
enum session_token_result
session_token_decode(struct session_token *t, const char *text,
		     const char *team, const struct session_token_keys *keys,
		     int64_t wall_us, int64_t max_age_us)
{
	struct session_token got = { 0 };
	uint8_t raw[TOKEN_RAW_BYTES];
	size_t len = strnlen(text, SESSION_TOKEN_TEXT_BYTES);
	size_t n = 0;

	session_token_init(t, team);
	if (len >= SESSION_TOKEN_TEXT_BYTES)
		return SESSION_TOKEN_TOO_LARGE;
	if (sodium_base642bin(raw, sizeof(raw), text, len, NULL, &n, NULL,
			      BASE64) != 0)
		return SESSION_TOKEN_MALFORMED;
	if (n <= MAC_BYTES)
		return SESSION_TOKEN_MALFORMED;
	if (!mac_is_valid(raw, n, keys->current) &&
	    !(keys->has_previous && mac_is_valid(raw, n, keys->previous)))
		return SESSION_TOKEN_BAD_MAC;
	if (!body_unpack(&got, raw + MAC_BYTES, n - MAC_BYTES))
		return SESSION_TOKEN_MALFORMED;
	if (strcmp(got.team, team) != 0)
		return SESSION_TOKEN_OTHER_TEAM;
	if (wall_us - got.issued_us > max_age_us)
		return SESSION_TOKEN_EXPIRED;
	*t = got;
	return SESSION_TOKEN_OK;
}

/* Returns the name of a result for logs and responses. */
const char *session_token_result_name(enum session_token_result r)
{
	static const char *const names[] = {
		[SESSION_TOKEN_OK] = "ok",
		[SESSION_TOKEN_MALFORMED] = "malformed",
		[SESSION_TOKEN_BAD_MAC] = "bad MAC",
		[SESSION_TOKEN_OTHER_TEAM] = "of another team",
		[SESSION_TOKEN_EXPIRED] = "expired",
		[SESSION_TOKEN_TOO_LARGE] = "too large",
	};

	if ((unsigned int)r >= sizeof(names) / sizeof(names[0]))
		return "malformed";
	return names[r];
}

/* Returns the session's entry for a service, or NULL. */
const struct session_token_entry *
session_token_find(const struct session_token *t, const char *service)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		if (strcmp(t->entry[i].service, service) == 0)
			return &t->entry[i];
	}
	return NULL;
}

/*
 * Records that the session has seen or written position "seen". The position of
 * an entry never decreases. Returns true if it increased.
 */
bool session_token_raise(struct session_token *t, const char *service,
			 struct log_pos seen)
{
	struct session_token_entry *e = use_entry(t, service);

	if (log_pos_cmp(seen, e->seen) <= 0)
		return false;
	e->seen = seen;
	return true;
}

/* Records that a write sent in "term" may have run or may still run. */
void session_token_mark_unknown(struct session_token *t, const char *service,
				uint64_t term)
{
	struct session_token_entry *e = use_entry(t, service);

	if (term > e->unknown_term)
		e->unknown_term = term;
}

/*
 * Clears the mark of a write of unknown outcome sent in a term below "term".
 * Either that term is settled (write_quorum_term_is_settled()) or the write's
 * outcome is known; the caller ensures it.
 */
void session_token_settle(struct session_token *t, const char *service,
			  uint64_t term)
{
	uint32_t i;

	for (i = 0; i < t->n; i++) {
		if (strcmp(t->entry[i].service, service) != 0)
			continue;
		if (t->entry[i].unknown_term < term)
			t->entry[i].unknown_term = 0;
	}
}

/*
 * Returns a service's entry as the most recently used one. A new entry evicts
 * the least recently used one if the table is full.
 */
static struct session_token_entry *use_entry(struct session_token *t,
					     const char *service)
{
	struct session_token_entry e = { 0 };
	uint32_t i;

	strncpy(e.service, service, sizeof(e.service) - 1);
	for (i = 0; i < t->n; i++) {
		if (strcmp(t->entry[i].service, service) == 0)
			break;
	}
	if (i < t->n) {
		e = t->entry[i];
		memmove(&t->entry[i], &t->entry[i + 1],
			(t->n - i - 1) * sizeof(e));
		t->n--;
	} else if (t->n == SESSION_TOKEN_ENTRIES_MAX) {
		evict_oldest(t);
	}
	t->entry[t->n] = e;
	return &t->entry[t->n++];
}

/*
 * Evicts the least recently used entry and sets "evicted", which is never
 * cleared: from now on the primary serves the reads of any service without an
 * entry.
 */
static void evict_oldest(struct session_token *t)
{
	memmove(&t->entry[0], &t->entry[1], (t->n - 1) * sizeof(t->entry[0]));
	t->n--;
	t->evicted = true;
}

/* Write callback of the packer. Returns -1 if the body would not fit. */
static int body_write(void *ctx, const char *bytes, size_t n)
{
	struct body *b = ctx;

	if (n > sizeof(b->bytes) - b->n)
		return -1;
	memcpy(b->bytes + b->n, bytes, n);
	b->n += n;
	return 0;
}

/*
 * Packs [version, team, issued, evicted, [[service, term, position,
 * unknown_term]...]]. Returns 0, or nonzero if it does not fit.
 */
static int body_pack(const struct session_token *t, int64_t wall_us,
		     struct body *b)
{
	msgpack_packer pk;
	int rc = 0;
	uint32_t i;

	b->n = 0;
	msgpack_packer_init(&pk, b, body_write);
	rc |= msgpack_pack_array(&pk, TOKEN_FIELDS);
	rc |= msgpack_pack_uint8(&pk, TOKEN_VERSION);
	rc |= pack_text(&pk, t->team);
	rc |= msgpack_pack_int64(&pk, wall_us);
	rc |= t->evicted ? msgpack_pack_true(&pk) : msgpack_pack_false(&pk);
	rc |= msgpack_pack_array(&pk, t->n);
	for (i = 0; i < t->n; i++) {
		rc |= msgpack_pack_array(&pk, ENTRY_FIELDS);
		rc |= pack_text(&pk, t->entry[i].service);
		rc |= msgpack_pack_uint64(&pk, t->entry[i].seen.term);
		rc |= msgpack_pack_uint64(&pk, t->entry[i].seen.position);
		rc |= msgpack_pack_uint64(&pk, t->entry[i].unknown_term);
	}
	return rc;
}

/* Packs a C string as a msgpack string. */
static int pack_text(msgpack_packer *pk, const char *text)
{
	return msgpack_pack_str_with_body(pk, text, strlen(text));
}

/* Unpacks a body. Returns false unless it is one token of this version. */
static bool body_unpack(struct session_token *t, const uint8_t *bytes, size_t n)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, (const char *)bytes, n, &off) ==
	     MSGPACK_UNPACK_SUCCESS;
	ok = ok && off == n && read_token(t, &u.data);
	msgpack_unpacked_destroy(&u);
	return ok;
}

/* Reads a token from an unpacked body; false if it is malformed. */
static bool read_token(struct session_token *t, const msgpack_object *o)
{
	const msgpack_object *f;
	const msgpack_object_array *list;
	uint64_t version;
	uint64_t issued;
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != TOKEN_FIELDS)
		return false;
	f = o->via.array.ptr;
	if (!read_uint(&version, &f[0]) || version != TOKEN_VERSION)
		return false;
	if (!read_text(t->team, &f[1]) || !read_uint(&issued, &f[2]))
		return false;
	if (issued > INT64_MAX)
		return false;
	t->issued_us = (int64_t)issued;
	if (f[3].type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	t->evicted = f[3].via.boolean;
	if (f[4].type != MSGPACK_OBJECT_ARRAY)
		return false;
	list = &f[4].via.array;
	if (list->size > SESSION_TOKEN_ENTRIES_MAX)
		return false;
	for (i = 0; i < list->size; i++) {
		if (!read_entry(&t->entry[i], &list->ptr[i]))
			return false;
	}
	t->n = list->size;
	return true;
}

/* Reads one entry; false if it is malformed. */
static bool read_entry(struct session_token_entry *e, const msgpack_object *o)
{
	const msgpack_object *f;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != ENTRY_FIELDS)
		return false;
	f = o->via.array.ptr;
	if (!read_text(e->service, &f[0]))
		return false;
	if (!read_uint(&e->seen.term, &f[1]))
		return false;
	if (!read_uint(&e->seen.position, &f[2]))
		return false;
	return read_uint(&e->unknown_term, &f[3]);
}

/* Reads a name; false if it is too long or contains a NUL. */
static bool read_text(char text[NAME_MAX_BYTES], const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= NAME_MAX_BYTES)
		return false;
	memcpy(text, o->via.str.ptr, o->via.str.size);
	text[o->via.str.size] = '\0';
	return strlen(text) == o->via.str.size;
}

/* Reads an unsigned integer; false if it is anything else. */
static bool read_uint(uint64_t *v, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*v = o->via.u64;
	return true;
}

/* Verifies the MAC in constant time. */
static bool mac_is_valid(const uint8_t *raw, size_t n, const uint8_t *secret)
{
	uint8_t mac[MAC_BYTES];

	crypto_generichash(mac, sizeof(mac), raw + MAC_BYTES, n - MAC_BYTES,
			   secret, SESSION_TOKEN_SECRET_BYTES);
	return sodium_memcmp(mac, raw, sizeof(mac)) == 0;
}
