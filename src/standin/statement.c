#include "standin/statement.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	enum statement_verb verb;
	bool takes_value;
} verbs[] = {
	{ "get", VERB_GET, false },    { "put", VERB_PUT, true },
	{ "list", VERB_LIST, false },  { "increment", VERB_INCREMENT, true },
	{ "check", VERB_CHECK, true }, { "append", VERB_APPEND, true },
};

/* The parse position in a statement and in its parameters. */
struct cursor {
	const char *pos;
	const json_t *parameters;
	size_t n_used;
};

static int parse_error(struct error *e, const char *why);
static bool next_word(struct cursor *c, char *out, size_t size);
static int parse_key(struct cursor *c, char *out, struct error *e);
static int parse_value(struct cursor *c, struct statement *s, struct error *e);
static json_t *parse_literal(const char *text);
static int parse_amount(struct statement *s, struct error *e);

/*
 * Parses "verb key [value]". A "?" in place of the key or value takes the next
 * parameter, and every parameter must be used. An inline value is the rest of
 * the text: an integer if it reads as one, otherwise a string. Returns 0,
 * after which the caller calls statement_clear(), or -1 with UNPROCESSABLE.
 */
int statement_parse(struct statement *s, const char *text,
		    const json_t *parameters, struct error *e)
{
	struct cursor c = { .pos = text, .parameters = parameters };
	char name[16];
	size_t i;

	memset(s, 0, sizeof(*s));
	if (!next_word(&c, name, sizeof(name)))
		return parse_error(e, "missing verb");
	for (i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (strcmp(verbs[i].name, name) == 0)
			break;
	}
	if (i == sizeof(verbs) / sizeof(verbs[0]))
		return parse_error(e, "unknown verb");
	s->verb = verbs[i].verb;
	if (parse_key(&c, s->key, e))
		return -1;
	if (verbs[i].takes_value && parse_value(&c, s, e))
		return -1;
	if (s->verb == VERB_INCREMENT && parse_amount(s, e))
		return -1;
	while (*c.pos == ' ')
		c.pos++;
	if (*c.pos == '\0' && c.n_used == json_array_size(parameters))
		return 0;
	statement_clear(s);
	return parse_error(e, *c.pos ? "unexpected text after the statement"
				     : "unused parameters");
}

/* Frees the value that a statement owns. */
void statement_clear(struct statement *s)
{
	json_decref(s->value);
	s->value = NULL;
}

/* Tells whether a statement may change a key. */
bool statement_is_write(const struct statement *s)
{
	return s->verb == VERB_PUT || s->verb == VERB_INCREMENT ||
	       s->verb == VERB_APPEND;
}

/* Sets an UNPROCESSABLE error and returns -1. */
static int parse_error(struct error *e, const char *why)
{
	return error_set(e, ERR_UNPROCESSABLE, STEP_PARSE, NULL, "%s", why);
}

/*
 * Copies the next word to "out". Returns false if there is none or it does not
 * fit.
 */
static bool next_word(struct cursor *c, char *out, size_t size)
{
	size_t n;

	while (*c->pos == ' ')
		c->pos++;
	n = strcspn(c->pos, " ");
	if (n == 0 || n >= size)
		return false;
	memcpy(out, c->pos, n);
	out[n] = '\0';
	c->pos += n;
	return true;
}

/*
 * Parses the key, either inline or from a string parameter. Returns 0, or -1
 * with an error.
 */
static int parse_key(struct cursor *c, char *out, struct error *e)
{
	const json_t *p;

	if (!next_word(c, out, KEY_MAX_BYTES))
		return parse_error(e, "missing key or key too long");
	if (strcmp(out, "?") != 0)
		return 0;
	p = json_array_get(c->parameters, c->n_used++);
	if (!json_is_string(p))
		return parse_error(e, "key parameter is not a string");
	if (json_string_length(p) == 0 ||
	    json_string_length(p) >= KEY_MAX_BYTES)
		return parse_error(e, "missing key or key too long");
	memcpy(out, json_string_value(p), json_string_length(p) + 1);
	return 0;
}

/*
 * Parses the value, either the rest of the text or a parameter. Returns 0, or
 * -1 with an error.
 */
static int parse_value(struct cursor *c, struct statement *s, struct error *e)
{
	json_t *p;

	while (*c->pos == ' ')
		c->pos++;
	if (*c->pos == '\0')
		return parse_error(e, "missing value");
	if (strcmp(c->pos, "?") != 0) {
		if (strlen(c->pos) > VALUE_MAX_BYTES)
			return parse_error(e, "value too long");
		s->value = parse_literal(c->pos);
		c->pos += strlen(c->pos);
		return s->value ? 0
				: parse_error(e, "value is not valid UTF-8");
	}
	c->pos++;
	p = json_array_get(c->parameters, c->n_used++);
	if (!p)
		return parse_error(e, "missing parameter");
	if (json_string_length(p) > VALUE_MAX_BYTES)
		return parse_error(e, "value too long");
	s->value = json_incref(p);
	return 0;
}

/*
 * Returns an integer if the text reads as one, otherwise a string; NULL if the
 * text is not valid UTF-8.
 */
static json_t *parse_literal(const char *text)
{
	char *end;
	long long n;

	errno = 0;
	n = strtoll(text, &end, 10);
	if (end != text && *end == '\0' && errno == 0)
		return json_integer(n);
	return json_string(text);
}

/*
 * Moves an integer value into the amount of an increment. Returns 0, or -1 if
 * the value is of another type.
 */
static int parse_amount(struct statement *s, struct error *e)
{
	if (!json_is_integer(s->value)) {
		statement_clear(s);
		return parse_error(e, "amount is not an integer");
	}
	s->amount = json_integer_value(s->value);
	statement_clear(s);
	return 0;
}
