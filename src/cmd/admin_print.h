#ifndef CMD_ADMIN_PRINT_H
#define CMD_ADMIN_PRINT_H

#include "cmd/admin_client.h"

void admin_print_json(const json_t *reply);
void admin_print_teams(const json_t *reply);
void admin_print_keys(const json_t *reply);
void admin_print_limits(const json_t *reply);
void admin_print_exceptions(const json_t *reply);
void admin_print_status(const json_t *reply);
int admin_print_change(const struct admin_client *c,
		       const struct admin_call *call, bool json);
int admin_print_failure(const struct admin_call *call);

#endif
