#include "cmd/cmd.h"

#include <stdio.h>

#include "cmd/settings_file.h"

/* Checks a settings file and starts nothing: 0, or 78 if it has failures. */
int cmd_check(int argc, char **argv)
{
	struct settings s;
	int rc = settings_from_arguments(argc, argv, &s);

	if (rc == 0)
		printf("settings: ok\n");
	return rc;
}
