#include "decide/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const code_names[ERR_COUNT] = {
#define X(id, text, status) [ERR_##id] = (text),
	ERROR_TABLE(X)
#undef X
};

static const int code_statuses[ERR_COUNT] = {
#define X(id, text, status) [ERR_##id] = (status),
	ERROR_TABLE(X)
#undef X
};

static const char *const step_names[STEP_COUNT] = {
#define X(id, text) [STEP_##id] = (text),
	STEP_TABLE(X)
#undef X
};

/*
 * Fills in an error; the peer and the message are truncated to their sizes.
 * Always returns -1, so that a failing function can return its result. "e" may
 * be NULL.
 */
int error_set(struct error *e, enum error_code code, enum step step,
	      const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!e)
		return -1;
	e->code = code;
	e->step = step;
	snprintf(e->peer, sizeof(e->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(e->message, sizeof(e->message), fmt, ap);
	va_end(ap);
	return -1;
}

/* Resets an error to "none". "e" may be NULL. */
void error_clear(struct error *e)
{
	if (!e)
		return;
	memset(e, 0, sizeof(*e));
}

/* Returns the stable name of a code, as used for callers and in logs. */
const char *error_code_name(enum error_code code)
{
	if ((unsigned int)code >= ERR_COUNT)
		return "internal";
	return code_names[code];
}

/* Returns the code with a stable name, or ERR_INTERNAL if there is none. */
enum error_code error_code_from_name(const char *name)
{
	int i;

	for (i = 0; i < ERR_COUNT; i++) {
		if (strcmp(code_names[i], name) == 0)
			return (enum error_code)i;
	}
	return ERR_INTERNAL;
}

/* Returns the HTTP status with which a code is reported to callers. */
int error_http_status(enum error_code code)
{
	if ((unsigned int)code >= ERR_COUNT)
		return code_statuses[ERR_INTERNAL];
	return code_statuses[code];
}

/* Returns the stable name of a step. */
const char *step_name(enum step step)
{
	if ((unsigned int)step >= STEP_COUNT)
		return "none";
	return step_names[step];
}

/* Returns the step with a stable name, or STEP_NONE if there is none. */
enum step step_from_name(const char *name)
{
	int i;

	for (i = 0; i < STEP_COUNT; i++) {
		if (strcmp(step_names[i], name) == 0)
			return (enum step)i;
	}
	return STEP_NONE;
}
