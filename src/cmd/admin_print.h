#ifndef CMD_ADMIN_PRINT_H
#define CMD_ADMIN_PRINT_H

#include "cmd/admin_call.h"

/* Prints an answer as JSON, or as a table of what was asked for. */
void admin_print_json(const json_t *reply);
void admin_print_teams(const json_t *reply);
void admin_print_keys(const json_t *reply);
void admin_print_limits(const json_t *reply);
void admin_print_exceptions(const json_t *reply);
void admin_print_status(const json_t *reply);
/* Prints what came of a change, with its id; returns the exit code. */
int admin_print_change(const struct admin_client *c,
		       const struct admin_call *call, bool json);
/* Prints why a read has no answer; returns the exit code. */
int admin_print_failure(const struct admin_call *call);

#endif
