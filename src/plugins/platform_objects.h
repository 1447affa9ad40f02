#ifndef PLUGINS_PLATFORM_OBJECTS_H
#define PLUGINS_PLATFORM_OBJECTS_H

#include "decide/members.h"

#define LISTED_VMS_MAX 65536

/* Bodies of the platform's answers, whatever carries them. */
typedef void (*platform_object_fn)(void *ctx, const char *name,
				   uint64_t version, const char *body);
typedef void (*platform_vm_fn)(void *ctx, const struct member *vm);

/*
 * Reads the answer to a list or a watch: the revision, and each object that is
 * this system's. Nothing is called unless the whole answer is well formed.
 */
int platform_objects_parse(const char *json, uint64_t *revision,
			   platform_object_fn fn, void *ctx, struct error *e);
/* Reads the list of VMs; likewise. */
int platform_vms_parse(const char *json, platform_vm_fn fn, void *ctx,
		       struct error *e);
/* The record with which a VM announces itself; malloc'd. */
char *platform_vm_record(const struct member *self);
/* Is an object of this name one of the system's? */
bool platform_object_ours(const char *name);

#endif
