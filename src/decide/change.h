#ifndef DECIDE_CHANGE_H
#define DECIDE_CHANGE_H

#include "decide/config.h"

enum change_kind {
	CHANGE_PUT_TEAM,
	CHANGE_DELETE_TEAM, /* its keys are withdrawn with it */
	CHANGE_ADD_KEY,
	CHANGE_WITHDRAW_KEY,
	CHANGE_PUT_EXCEPTION, /* one team has at most one exception */
	CHANGE_DELETE_EXCEPTION,
	CHANGE_PUT_DEFAULTS,
};

/* One administrative change; "id" is unique, chosen by whoever makes it. */
struct change {
	enum change_kind kind;
	char id[CHANGE_ID_BYTES];
	char by[NAME_MAX_BYTES]; /* operator, for the audit */
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	char key_hash[KEY_HASH_HEX_BYTES];
	char exception_id[NAME_MAX_BYTES];
	char reason[REASON_MAX_BYTES];
	uint32_t n_services;
	char services[TEAM_SERVICES_MAX][NAME_MAX_BYTES];
	uint32_t weight; /* 0: not given, 1 */
	struct limits_patch patch;
};

const char *change_kind_name(enum change_kind kind);
/* The name of the object that a change is made in. */
int change_object(const struct change *c, char name[CONFIG_OBJECT_NAME_BYTES],
		  struct error *e);
/*
 * The object's new body, malloc'd and fully checked, or NULL with the reason.
 * "body" is the current one, NULL if the object does not exist yet.
 */
char *change_apply(const struct change *c, const char *body, struct error *e);
/* Can the object be read at all, so that its changes can be told? */
bool change_readable(const char *body, struct error *e);
/* Did the change with this id take effect in the object? */
bool change_took_effect(const char *body, const char *id);

#endif
