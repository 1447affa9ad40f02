#include "cmd/operator_key.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

/*
 * Reads the key from the first line of a file, or from the environment
 * variable if "file" is NULL. Returns 0, or an exit code after printing what
 * is wrong.
 */
int operator_key_read(const char *file, char *out, size_t size)
{
	const char *value = getenv(OPERATOR_KEY_VARIABLE);
	FILE *f;

	if (!file) {
		if (!value || value[0] == '\0') {
			fprintf(stderr,
				"gypsumcleat: --operator-key-file or "
				"$" OPERATOR_KEY_VARIABLE " is required\n");
			return EX_USAGE;
		}
		snprintf(out, size, "%s", value);
		return 0;
	}
	f = fopen(file, "re");
	if (!f) {
		fprintf(stderr, "gypsumcleat: %s: %m\n", file);
		return EX_NOINPUT;
	}
	if (!fgets(out, (int)size, f))
		out[0] = '\0';
	fclose(f);
	out[strcspn(out, "\r\n")] = '\0';
	return 0;
}
