#include "kernel/request.h"

#include <stdlib.h>
#include <string.h>

/* Returns an empty request, or NULL if memory is short. */
struct request *request_create(void)
{
	struct request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->max_age_us = MAX_AGE_NONE;
	r->answer.age_us = -1;
	return r;
}

/* Frees a request and its response; NULL is allowed. */
void request_destroy(struct request *r)
{
	if (!r)
		return;
	free(r->statement);
	free(r->parameters);
	free(r->answer.rows);
	free(r);
}
