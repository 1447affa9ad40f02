#ifndef KERNEL_TEAMS_CONFIG_H
#define KERNEL_TEAMS_CONFIG_H

#include "kernel/teams.h"

struct store;
struct team;

/* Subscribes the table of teams to the platform's objects. */
void teams_subscribe(struct teams *t, struct store *store);
void teams_free_team(struct team *team);
int teams_authorize(struct teams *t, const char *service, struct team_auth *out,
		    struct error *e);

#endif
