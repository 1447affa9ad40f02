#ifndef PLUGINS_PLATFORM_OBJECTS_H
#define PLUGINS_PLATFORM_OBJECTS_H

#include "decide/membership.h"

#define LISTED_VMS_MAX 65536

/*
 * Parsers of the platform's JSON responses and the record that a VM sends it,
 * independent of the transport. The callbacks run for each object or VM of a
 * response.
 */
typedef void (*platform_object_fn)(void *ctx, const char *name,
				   uint64_t version, const char *body);
typedef void (*platform_vm_fn)(void *ctx, const struct member *vm);

/*
 * Parses the response to a list or watch: sets "revision" and calls "fn" for
 * each object of this system. A malformed response returns -1 before any call.
 */
int platform_objects_parse(const char *json, uint64_t *revision,
			   platform_object_fn fn, void *ctx, struct error *e);
/* Parses the list of VMs in the same way. */
int platform_vms_parse(const char *json, platform_vm_fn fn, void *ctx,
		       struct error *e);
/* Returns the record with which a VM announces itself; malloc'd. */
char *platform_vm_record(const struct member *self);
/* Returns whether an object of this name belongs to this system. */
bool platform_object_is_own(const char *name);

#endif
