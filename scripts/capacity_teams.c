#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "decide/config.h"

#define BUCKETS 256

static void print_team(unsigned long team, unsigned long keys, int comma);

/*
 * Prints the 256 objects "teams/BB" that hold the given number of teams with
 * the given number of keys each, one object a line. Used by scripts/capacity.
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

/* Prints one team. The hash of each key is the hash of its number. */
static void print_team(unsigned long team, unsigned long keys, int comma)
{
	unsigned char hash[32];
	char hex[65];
	unsigned long k, n;

	printf("%s\"team%lu\":{\"services\":[\"quotes\"],\"keys\":{",
	       comma ? "," : "", team);
	for (k = 0; k < keys; k++) {
		n = team * keys + k;
		crypto_generichash(hash, sizeof(hash), (unsigned char *)&n,
				   sizeof(n), NULL, 0);
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		printf("%s\"k%lu\":{\"hash\":\"%s\",\"state\":\"live\"}",
		       k ? "," : "", k, hex);
	}
	printf("}}");
}
