#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>

#include "decide/error.h"

/*
 * The state machine of the platform: versioned objects and the VM list. It has
 * no clock or lock; the caller passes the monotonic time and holds a lock. A
 * version counts the changes of one object, the revision those of all objects.
 */
struct platform_store;

#define PLATFORM_VERSION_ANY UINT64_MAX /* unconditional write */
#define PLATFORM_OBJECTS_MAX 65536
#define PLATFORM_VMS_MAX     16384

enum put_result {
	PUT_OK,
	PUT_CONFLICT, /* the version is not the expected one */
	PUT_FULL,     /* too many objects */
};

struct platform_store *platform_store_create(usec_t vm_expiry);
void platform_store_destroy(struct platform_store *s);
const json_t *platform_store_get(const struct platform_store *s,
				 const char *name, uint64_t *version);
enum put_result platform_store_put(struct platform_store *s, const char *name,
				   uint64_t expected, json_t *body,
				   uint64_t *version);
uint64_t platform_store_revision(const struct platform_store *s);
json_t *platform_store_list(const struct platform_store *s, const char *prefix,
			    uint64_t after);
bool platform_store_has_changes(const struct platform_store *s,
				const char *prefix, uint64_t after);
int platform_store_announce(struct platform_store *s, const json_t *record,
			    usec_t now, struct error *e);
json_t *platform_store_list_vms(struct platform_store *s, usec_t now,
				usec_t lag);

#endif
