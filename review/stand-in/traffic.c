#include "traffic.h"

#include <stdlib.h>
#include <string.h>

#include "world.h"

#define CALLERS	    9
#define CALL_GAP_MS 60
#define RETRIES	    2
#define OPS_MAX	    100000

static const char *const zones[] = { "kr-south-a", "kr-south-b", "kr-south-c" };
static pthread_t callers[CALLERS];
static volatile bool stopping;
static struct op {
	int64_t sent_at;
	int64_t ended_at;
	bool served;
	int kind;
	char id[32]; /* of the operation; attempts count on with a letter */
	char end[80];
} ops[OPS_MAX];
static int n_ops;

/* The kinds of requests of hcs-quotes, by their share of the traffic. */
static const struct {
	const char *db;
	int share, write_percent, budget_ms;
} kinds[] = {
	{ "p-db", 15, 35, 2000 },
	{ "b-db", 15, 0, 8000 },
	{ "s-db", 70, 12, 2000 },
};

/* One operation with its retries; false if it was not served in time. */
static bool operate(struct caller *c, int me, int n, int kind, bool writes,
		    char *end)
{
	int64_t until = now_ms() + kinds[kind].budget_ms;
	unsigned int attempt;

	strcpy(end, "no connection");
	for (attempt = 0; attempt <= RETRIES && now_ms() < until; attempt++) {
		int vm = balancer_pick(zones[me % 3], attempt);
		char id[64], text[64];
		bool done = false, sent = false;

		if (attempt)
			sleep_ms(100);
		snprintf(id, sizeof(id), "c%dn%d%c", me, n, (int)('a' + attempt));
		snprintf(text, sizeof(text), writes ? "WRITE k%d v%d" :
						      "READ k%d", n % 50, n);
		if (vm >= 0 &&
		    caller_open(c, vms[vm].callers, kinds[kind].db, "key-1",
				2000)) {
			sent = true;
			caller_query(c, id, text, (int)(until - now_ms()));
			done = caller_done(c, id);
			snprintf(end, 80, "%.79s", c->end);
			caller_close(c);
		}
		if (done)
			return true;
		/* A write without a promise is not repeated. */
		if (sent && writes && strncmp(end, "ERROR BUSY", 10) != 0 &&
		    strncmp(end, "ERROR ABORTED", 13) != 0)
			return false;
	}
	return false;
}

static void *call(void *ctx)
{
	struct caller *c = malloc(sizeof(*c));
	int me = (int)(intptr_t)ctx, n = 0;
	unsigned int seed = (unsigned int)me + 1;

	while (c && !stopping) {
		int draw = (int)(rand_r(&seed) % 100), kind;
		int64_t at = now_ms();
		struct op *o;
		char end[80];
		bool ok;

		kind = draw < 15 ? 0 : draw < 30 ? 1 : 2;
		ok = operate(c, me, ++n, kind,
			     (int)(rand_r(&seed) % 100) <
				     kinds[kind].write_percent,
			     end);
		pthread_mutex_lock(&lock);
		o = &ops[n_ops < OPS_MAX - 1 ? n_ops++ : n_ops];
		o->sent_at = at;
		o->ended_at = now_ms();
		o->served = ok;
		snprintf(o->id, sizeof(o->id), "c%dn%d", me, n);
		o->kind = kind;
		strcpy(o->end, end);
		pthread_mutex_unlock(&lock);
		sleep_ms(CALL_GAP_MS);
	}
	free(c);
	return NULL;
}

int traffic_count(int64_t from, int64_t to, int *served)
{
	int i, n = 0;

	*served = 0;
	for (i = 0; i < n_ops; i++) {
		if (ops[i].sent_at < from || ops[i].sent_at >= to)
			continue;
		n++;
		*served += ops[i].served;
	}
	return n;
}

void traffic_start(void)
{
	int i;

	balancer_start();
	for (i = 0; i < CALLERS; i++)
		pthread_create(&callers[i], NULL, call, (void *)(intptr_t)i);
}

void traffic_stop(void)
{
	int i;

	stopping = true;
	for (i = 0; i < CALLERS; i++)
		pthread_join(callers[i], NULL);
}

void traffic_note_unserved(int64_t from, int64_t to, int most)
{
	int i;

	for (i = 0; i < n_ops && most > 0; i++) {
		if (ops[i].served || ops[i].sent_at < from ||
		    ops[i].sent_at >= to)
			continue;
		most--;
		note("not served, sent %.1f s into the span, to %s: %s",
		     (double)(ops[i].sent_at - from) / 1000,
		     kinds[ops[i].kind].db, ops[i].end);
	}
}

void traffic_note_all(void)
{
	int i;

	note("what callers sent, and the last answer of each operation:");
	for (i = 0; i < n_ops; i++)
		note_at(ops[i].sent_at, "%s sent to %s, answered after %lld ms: "
			"%s", ops[i].id, kinds[ops[i].kind].db,
			(long long)(ops[i].ended_at - ops[i].sent_at),
			ops[i].end);
}
