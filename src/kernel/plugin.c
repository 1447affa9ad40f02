#include "kernel/plugin.h"

#include <stddef.h>

/* Registered plug-ins, in the order of rank; filled in before main(). */
static struct plugin *first;
/* How many of them have been passed by the start, counted from the first. */
static int started;
/* Plug-ins of other forms are left out. */
static enum vm_form form = FORM_HTTP;

static void stop_started(struct kernel *k);
static bool applies(const struct plugin *p);

/*
 * Puts a plug-in in its place by rank; equal ranks keep the order of
 * registration. Not for use once threads run.
 */
void plugin_register(struct plugin *p)
{
	struct plugin **at = &first;

	while (*at && (*at)->rank <= p->rank)
		at = &(*at)->next;
	p->next = *at;
	*at = p;
}

/* Sets the VM's form, before the start. */
void plugin_select(enum vm_form f)
{
	form = f;
}

/* Returns the plug-in of the lowest rank. */
struct plugin *plugin_first(void)
{
	return first;
}

/*
 * Starts all plug-ins in the order of rank. If one fails, stops those that
 * had started, in reverse order, and returns -1 with its error.
 */
int plugin_start_all(struct kernel *k, struct error *e)
{
	struct plugin *p;

	started = 0;
	for (p = first; p; p = p->next) {
		if (applies(p) && p->start && p->start(k, e) == -1) {
			stop_started(k);
			return -1;
		}
		started++;
	}
	return 0;
}

/* Tells the started plug-ins, last first, to take no new work. */
void plugin_drain_all(struct kernel *k)
{
	struct plugin *p;
	int i;
	int n;

	for (n = started; n > 0; n--) {
		for (p = first, i = 1; i < n; i++)
			p = p->next;
		if (applies(p) && p->drain)
			p->drain(k);
	}
}

/* Tells whether no started plug-in has work left. */
bool plugin_drained_all(struct kernel *k)
{
	struct plugin *p;
	int n = 0;

	for (p = first; p && n < started; p = p->next, n++) {
		if (applies(p) && p->drained && !p->drained(k))
			return false;
	}
	return true;
}

/* Stops the started plug-ins in reverse order; the second time harmless. */
void plugin_stop_all(struct kernel *k)
{
	stop_started(k);
}

/* Stops the first "started" plug-ins, the last of them first. */
static void stop_started(struct kernel *k)
{
	struct plugin *p;
	int i;

	for (; started > 0; started--) {
		for (p = first, i = 1; i < started; i++)
			p = p->next;
		if (applies(p) && p->stop)
			p->stop(k);
	}
}

/* Is the plug-in for VMs of this form? */
static bool applies(const struct plugin *p)
{
	return p->form == FORM_ANY || p->form == form;
}
