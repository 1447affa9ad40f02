#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "cmd/cmd.h"

static const struct command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} commands[] = {
	{ "serve", "run a proxy VM", cmd_serve },
	{ "check", "check a settings file", cmd_check },
	{ "admin", "administer teams, keys and limits", cmd_admin },
	{ "timeline", "print the merged time line of VMs", cmd_timeline },
	{ "load", "generate open-loop load and verify responses", cmd_load },
	{ "standin", "run a stand-in of the platform or a database",
	  cmd_standin },
};

static int print_usage(FILE *out);

/* Runs the subcommand named by the first argument. */
int main(int argc, char **argv)
{
	size_t i;

	if (argc < 2)
		return print_usage(stderr);
	if (strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return EX_OK;
	}
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "gypsumcleat: unknown command \"%s\"\n", argv[1]);
	return print_usage(stderr);
}

/* Prints the subcommands. Returns the exit code of a usage error. */
static int print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "usage: gypsumcleat command [options]\n");
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-9s %s\n", commands[i].name,
			commands[i].summary);
	return EX_USAGE;
}
