#include "cmd/settings_file.h"

#include <argtable2.h>
#include <stdio.h>
#include <sysexits.h>

static int load_file(const char *path, struct settings *s);

/*
 * Parses "-f FILE", the only option of serve and check, and loads the file.
 * Returns 0, or an exit code after printing what is wrong on standard error.
 */
int settings_from_arguments(int argc, char **argv, struct settings *s)
{
	struct arg_file *file = arg_file1("f", NULL, "FILE", "settings");
	struct arg_end *end = arg_end(4);
	void *table[] = { file, end };
	int rc = EX_USAGE;

	if (arg_nullcheck(table)) {
		fprintf(stderr, "gypsumcleat: out of memory\n");
		return 1;
	}
	if (arg_parse(argc, argv, table) == 0) {
		rc = load_file(file->filename[0], s);
	} else {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "usage: gypsumcleat %s", argv[0]);
		arg_print_syntax(stderr, table, "\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

/*
 * Loads a file and prints every refused setting, one per line. Returns 0 or
 * EX_CONFIG.
 */
static int load_file(const char *path, struct settings *s)
{
	struct settings_report report;
	struct error e;

	if (settings_load(s, path, &report, &e) == 0)
		return 0;
	fputs(report.text, stderr);
	fprintf(stderr, "gypsumcleat: %s\n", e.message);
	return EX_CONFIG;
}
