#include "proxy/registry_internal.h"

/* Follows which failure domains the operator has evacuated. */

/* Returns true if the domain is known to be evacuated. */
bool registry_domain_is_evacuated(const struct registry *r, const char *domain)
{
	(void)r;
	(void)domain;
	return false;
}

/* Returns true if evacuations are known, or if there are none. */
bool registry_evacuations_known(const struct registry *r)
{
	return r->proxy->kernel->settings.evacuate_ms == 0;
}
