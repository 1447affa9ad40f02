#ifndef STANDIN_DBSTORE_EXEC_H
#define STANDIN_DBSTORE_EXEC_H

#include "standin/dbstore_internal.h"

enum dbstore_result dbstore_evaluate(const struct dbstore *d,
				     const struct skiplist *overlay,
				     const struct statement *s, json_t **rows,
				     json_t **value);
json_t *dbstore_get_key(const struct dbstore *d, const struct skiplist *overlay,
			const char *key);
void log_entry_set_request(struct log_entry *e,
			   const struct dbstore_request *req, json_t *rows);
struct dbstore_response dbstore_tx_execute(struct dbstore *d,
					   const struct dbstore_request *req,
					   usec_t now);
struct dbstore_response dbstore_tx_commit(struct dbstore *d,
					  const struct dbstore_request *req,
					  usec_t now, int64_t stamp_us);

#endif
