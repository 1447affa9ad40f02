#ifndef STANDIN_STATEMENT_H
#define STANDIN_STATEMENT_H

#include <jansson.h>

#include "decide/error.h"

#define KEY_MAX_BYTES	256
#define VALUE_MAX_BYTES 65536

enum statement_verb {
	VERB_GET,
	VERB_PUT,
	VERB_INCREMENT,
	VERB_LIST,
	VERB_APPEND,
	VERB_CHECK,
};

/* A parsed statement of the key-value language. */
struct statement {
	enum statement_verb verb;
	char key[KEY_MAX_BYTES]; /* for LIST the key prefix */
	json_t *value;		 /* operand of PUT, APPEND and CHECK; owned */
	int64_t amount;		 /* operand of INCREMENT */
};

int statement_parse(struct statement *s, const char *text,
		    const json_t *parameters, struct error *e);
void statement_clear(struct statement *s);
bool statement_is_write(const struct statement *s);

#endif
