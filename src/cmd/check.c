#include "cmd/cmd.h"

#include <stdio.h>

#include "cmd/settings_file.h"

/*
 * Checks a settings file without starting a VM. Returns 0, or 78 if a setting
 * is refused.
 */
int cmd_check(int argc, char **argv)
{
	struct settings s;
	int rc = settings_from_arguments(argc, argv, &s);

	if (rc == 0)
		printf("settings: ok\n");
	return rc;
}
