#ifndef PLUGINS_ADMIN_CHANGE_H
#define PLUGINS_ADMIN_CHANGE_H

#include "decide/change.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "plugins/admin_request.h"
#include "plugins/gossip.h"

struct kernel;

enum admin_result {
	ADMIN_ACCEPTED, /* written, and known where it has to be */
	ADMIN_WRITTEN,	/* written; "confirm.missing" says what is missing */
	ADMIN_REFUSED,	/* surely without effect; "error" says why */
	ADMIN_UNKNOWN,	/* may have taken effect */
};

/*
 * One administrative change on its way: read, check, write on condition,
 * resolve a lost reply by the change's id, make known. Owned by its maker
 * until done(), which runs once, on the platform's loop.
 */
struct admin_change {
	struct kernel *kernel;
	struct change change;
	struct admin_condition condition;
	usec_t timeout; /* for reading and writing */
	usec_t pause;	/* before a call is made again */
	void (*done)(struct admin_change *a);
	void *ctx;
	/* Filled in before done(): */
	enum admin_result result;
	struct error error;
	char object[CONFIG_OBJECT_NAME_BYTES];
	uint64_t version; /* of the change; if refused, the current one */
	bool already; /* the change had taken effect before it was made here */
	struct gossip_confirm confirm;
	/* Its own: */
	struct platform_call call;
	struct loop_timer timer;
	usec_t deadline;
	char *body;	 /* as written */
	uint64_t base;	 /* version that the write was of */
	bool maybe_done; /* a write of "body" on "base" was lost */
	uint32_t tries;	 /* writes that met another change */
	uint32_t reads;	 /* that failed before anything was written */
};

void admin_change_start(struct admin_change *a);
const char *admin_result_name(enum admin_result r);

#endif
