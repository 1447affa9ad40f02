#include <stdio.h>
#include <stdlib.h>

#include "decide/config.h"

#define BUCKETS 256

static void print_team(unsigned long team, unsigned long keys, int comma);

/*
 * Prints the 256 objects "teams/BB" of so many teams with so many keys each,
 * one a line, for the measurement of capacity.
 */
int main(int argc, char **argv)
{
	unsigned long teams, keys, t;
	char name[32];
	uint32_t b;
	int comma;

	if (argc != 3)
		return 64;
	teams = strtoul(argv[1], NULL, 10);
	keys = strtoul(argv[2], NULL, 10);
	for (b = 0; b < BUCKETS; b++) {
		comma = 0;
		printf("{\"teams\":{");
		for (t = 0; t < teams; t++) {
			snprintf(name, sizeof(name), "team%lu", t);
			if (config_team_bucket(name) != b)
				continue;
			print_team(t, keys, comma);
			comma = 1;
		}
		printf("},\"changes\":[]}\n");
	}
	return fflush(stdout) ? 1 : 0;
}

/* One team; its keys' hashes are of nobody's secret. */
static void print_team(unsigned long team, unsigned long keys, int comma)
{
	unsigned long k;

	printf("%s\"team%lu\":{\"services\":[\"quotes\"],\"keys\":{",
	       comma ? "," : "", team);
	for (k = 0; k < keys; k++)
		printf("%s\"k%lu\":{\"hash\":\"%064lx\",\"state\":\"live\"}",
		       k ? "," : "", k, team * keys + k + 1);
	printf("}}");
}
