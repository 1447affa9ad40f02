#include "cmd/cmd.h"

#include <sysexits.h>

int cmd_load(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return EX_USAGE;
}
