#ifndef STANDIN_DBSTORE_EXEC_H
#define STANDIN_DBSTORE_EXEC_H

#include "standin/dbstore_internal.h"

enum db_refusal evaluate(const struct dbstore *d, const struct omap *overlay,
			 const struct statement *s, json_t **rows,
			 json_t **value);
json_t *key_value(const struct dbstore *d, const struct omap *overlay,
		  const char *key);
void entry_keep_request(struct entry *e, const struct db_call *c, json_t *rows);
struct db_answer transaction_execute(struct dbstore *d, const struct db_call *c,
				     usec_t now);
struct db_answer transaction_commit(struct dbstore *d, const struct db_call *c,
				    usec_t now, int64_t stamp_us);

#endif
