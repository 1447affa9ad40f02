#ifndef DECIDE_CHANGE_H
#define DECIDE_CHANGE_H

#include "decide/config.h"

enum change_kind {
	CHANGE_PUT_TEAM,
	CHANGE_DELETE_TEAM, /* also removes its keys */
	CHANGE_ADD_KEY,
	CHANGE_WITHDRAW_KEY,
	CHANGE_PUT_EXCEPTION, /* a team has at most one exception */
	CHANGE_DELETE_EXCEPTION,
	CHANGE_PUT_DEFAULTS,
};

/* One administrative change of the configuration; its author chooses "id". */
struct change {
	enum change_kind kind;
	char id[CHANGE_ID_BYTES]; /* unique; makes the change idempotent */
	char by[NAME_MAX_BYTES];  /* name of the operator, for the audit */
	char team[NAME_MAX_BYTES];
	char key_id[NAME_MAX_BYTES];
	char key_hash[KEY_HASH_HEX_BYTES];
	char exception_id[NAME_MAX_BYTES];
	char reason[REASON_MAX_BYTES];
	uint32_t n_services;
	char services[TEAM_SERVICES_MAX][NAME_MAX_BYTES];
	uint32_t weight; /* 0: not given, stored as 1 */
	struct limits_patch patch;
};

const char *change_kind_name(enum change_kind kind);
/* Sets "name" to the object that a change applies to; -1 on an error. */
int change_object(const struct change *c, char name[CONFIG_OBJECT_NAME_BYTES],
		  struct error *e);
/*
 * Returns the object's new body, malloc'd and validated, or NULL with the
 * reason in "e". "body" is the current one, NULL if the object does not exist.
 */
char *change_apply(const struct change *c, const char *body, struct error *e);
/* Returns true if an object's body can be parsed. */
bool change_is_readable(const char *body, struct error *e);
/* Returns true if an object contains the change with this id. */
bool change_took_effect(const char *body, const char *id);

#endif
