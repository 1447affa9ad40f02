#ifndef KERNEL_TEAMS_APPLY_H
#define KERNEL_TEAMS_APPLY_H

#include "kernel/teams.h"

struct store;
struct team;

/* Brings objects of the platform into force in the table of teams. */
void teams_subscribe(struct teams *t, struct store *store);
void teams_free_team(struct team *team);
int teams_fill(struct teams *t, const char *service, struct team_ref *out,
	       struct error *e);

#endif
