#ifndef PLUGINS_ADMIN_CHANGE_H
#define PLUGINS_ADMIN_CHANGE_H

#include "decide/change.h"
#include "kernel/loop.h"
#include "kernel/platform.h"
#include "plugins/admin_request.h"
#include "plugins/gossip.h"

struct kernel;

enum admin_result {
	ADMIN_ACCEPTED, /* written and confirmed by another VM if needed */
	ADMIN_WRITTEN,	/* written; "confirm.missing" says what is missing */
	ADMIN_REFUSED,	/* certainly without effect; "error" says why */
	ADMIN_UNKNOWN,	/* may have taken effect */
};

/*
 * One administrative change. It reads the object, checks the change, writes
 * conditionally on the version, finds out by the change's id what became of a
 * write whose reply was lost, and has another VM confirm the result. The caller
 * must keep it until done(), which runs once, normally on the platform's loop.
 */
struct admin_change {
	struct kernel *kernel;
	struct change change;
	struct admin_condition condition;
	usec_t timeout;	      /* for reading and writing, with all retries */
	usec_t retry_backoff; /* time between retries */
	void (*done)(struct admin_change *a);
	void *ctx;
	/* Filled in before done(): */
	enum admin_result result;
	struct error error;
	char object[CONFIG_OBJECT_NAME_BYTES];
	uint64_t version;     /* version written; if refused, the current one */
	bool already_applied; /* an earlier attempt had already written it */
	struct gossip_confirm confirm;
	/* Private: */
	struct platform_call call;
	struct loop_timer timer;
	usec_t deadline;
	char *body;	       /* new content of the object */
	uint64_t base_version; /* the write requires this version */
	bool reply_lost;       /* the reply to a write of "body" was lost */
	uint32_t conflicts;    /* writes that met another version */
	uint32_t failed_reads; /* while no reply to a write was lost */
};

void admin_change_start(struct admin_change *a);
const char *admin_result_name(enum admin_result r);

#endif
