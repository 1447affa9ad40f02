#include "kernel/plugin.h"

#include <stddef.h>

/* Registered plug-ins in order of rank; complete before main(). */
static struct plugin *plugin_list;
/* Number of plug-ins from the head of the list that were started or skipped. */
static int n_started;
/* The form of this VM; plug-ins for other forms are skipped. */
static enum vm_form form = FORM_HTTP;

static void stop_started(struct kernel *k);
static bool matches_form(const struct plugin *p);

/*
 * Inserts a plug-in by rank; equal ranks keep the order of registration. Must
 * not be called once threads run.
 */
void plugin_register(struct plugin *p)
{
	struct plugin **at = &plugin_list;

	while (*at && (*at)->rank <= p->rank)
		at = &(*at)->next;
	p->next = *at;
	*at = p;
}

/* Sets the VM's form. Called before the start. */
void plugin_set_form(enum vm_form f)
{
	form = f;
}

/* Returns the plug-in of the lowest rank, the head of the list. */
struct plugin *plugin_first(void)
{
	return plugin_list;
}

/*
 * Starts all plug-ins in order of rank. If one fails, stops those that were
 * started, in reverse order, and returns -1 with its error.
 */
int plugin_start_all(struct kernel *k, struct error *e)
{
	struct plugin *p;

	n_started = 0;
	for (p = plugin_list; p; p = p->next) {
		if (matches_form(p) && p->start && p->start(k, e) == -1) {
			stop_started(k);
			return -1;
		}
		n_started++;
	}
	return 0;
}

/* Calls drain() of the started plug-ins in reverse order. */
void plugin_drain_all(struct kernel *k)
{
	struct plugin *p;
	int i;
	int n;

	for (n = n_started; n > 0; n--) {
		for (p = plugin_list, i = 1; i < n; i++)
			p = p->next;
		if (matches_form(p) && p->drain)
			p->drain(k);
	}
}

/* Returns whether no started plug-in has work left. */
bool plugin_drained_all(struct kernel *k)
{
	struct plugin *p;
	int n = 0;

	for (p = plugin_list; p && n < n_started; p = p->next, n++) {
		if (matches_form(p) && p->drained && !p->drained(k))
			return false;
	}
	return true;
}

/* Stops the started plug-ins in reverse order. A second call does nothing. */
void plugin_stop_all(struct kernel *k)
{
	stop_started(k);
}

/* Stops the first n_started plug-ins in reverse order. */
static void stop_started(struct kernel *k)
{
	struct plugin *p;
	int i;

	for (; n_started > 0; n_started--) {
		for (p = plugin_list, i = 1; i < n_started; i++)
			p = p->next;
		if (matches_form(p) && p->stop)
			p->stop(k);
	}
}

/* Returns whether the plug-in is for VMs of this form. */
static bool matches_form(const struct plugin *p)
{
	return p->form == FORM_ANY || p->form == form;
}
