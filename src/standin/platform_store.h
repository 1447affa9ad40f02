#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <jansson.h>

#include "decide/error.h"

/*
 * The platform's objects and VM list as pure state; the caller holds a lock.
 * Versions rise per object; a revision counts all changes.
 */
struct platform_store;

#define PLATFORM_VERSION_ANY UINT64_MAX
#define PLATFORM_OBJECTS_MAX 65536
#define PLATFORM_VMS_MAX     16384

enum put_result {
	PUT_OK,
	PUT_CONFLICT,
	PUT_FULL,
};

struct platform_store *platform_store_create(usec_t vm_expiry);
void platform_store_destroy(struct platform_store *s);
/* The body, borrowed, or NULL. */
const json_t *platform_store_get(const struct platform_store *s,
				 const char *name, uint64_t *version);
/*
 * Writes if the version is "expected" (0: absent); "version" gets the current
 * one in either case.
 */
enum put_result platform_store_put(struct platform_store *s, const char *name,
				   uint64_t expected, json_t *body,
				   uint64_t *version);
uint64_t platform_store_revision(const struct platform_store *s);
/* Objects with a prefix that changed after a revision. */
json_t *platform_store_list(const struct platform_store *s, const char *prefix,
			    uint64_t after);
/* Does the list for these hold anything? */
bool platform_store_has_changes(const struct platform_store *s,
				const char *prefix, uint64_t after);
/* Takes a VM's record: 0, or -1 with UNPROCESSABLE or OVERLOAD. */
int platform_store_announce(struct platform_store *s, const json_t *record,
			    usec_t now, struct error *e);
/*
 * The VMs as they were known "lag" before now: those announced by then that
 * had not expired.
 */
json_t *platform_store_list_vms(struct platform_store *s, usec_t now,
				usec_t lag);

#endif
