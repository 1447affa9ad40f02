#include "kernel/fleet.h"
#include "kernel/kernel.h"
#include "kernel/peer.h"
#include "kernel/plugin.h"
#include "kernel/object_store.h"

static int start(struct kernel *k, struct error *e);
static void stop(struct kernel *k);

static struct plugin plugin = {
	.name = "vm_state",
	.rank = RANK_STATE,
	.form = FORM_HTTP,
	.start = start,
	.stop = stop,
};
PLUGIN_REGISTER(plugin);

/* Creates the tables that all other plug-ins share. */
static int start(struct kernel *k, struct error *e)
{
	k->store = store_create();
	k->fleet = fleet_create(k);
	k->peer = peer_create();
	if (k->store && k->fleet && k->peer)
		return 0;
	stop(k);
	return error_set(e, ERR_SYSTEM, STEP_NONE, k->settings.vm,
			 "no memory for the VM's tables");
}

/* Frees the tables; every thread that uses them must have ended. */
static void stop(struct kernel *k)
{
	peer_destroy(k->peer);
	fleet_destroy(k->fleet);
	store_destroy(k->store);
	k->peer = NULL;
	k->fleet = NULL;
	k->store = NULL;
}
