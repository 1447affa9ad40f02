#ifndef PLUGINS_ADMIN_VIEW_H
#define PLUGINS_ADMIN_VIEW_H

#include <jansson.h>

#include "plugins/admin_change.h"

/*
 * JSON for the responses to operators. All return a new reference, NULL if
 * memory is short.
 */
json_t *admin_view_error(const struct error *e);
/* A team without its keys' hashes; NULL with NOT_FOUND if there is none. */
json_t *admin_view_team(const char *body, const char *team, struct error *e);
json_t *admin_view_exception(const char *body, const char *id, struct error *e);
json_t *admin_view_exceptions(const char *body);
json_t *admin_view_defaults(const char *body, struct error *e);
/* All teams that this VM knows, by name. */
json_t *admin_view_teams(struct kernel *k);
json_t *admin_view_status(struct kernel *k);
json_t *admin_view_events(struct kernel *k, uint64_t since);
/* The outcome of a change; "secret" is the secret of a new key, else NULL. */
json_t *admin_view_change(const struct admin_change *a, const char *secret);

#endif
