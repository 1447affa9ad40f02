#include "standin/fault_injection.h"

#include <string.h>

struct number_control {
	const char *name;
	atomic_llong *value;
};

struct flag_control {
	const char *name;
	atomic_bool *value;
};

#define NUMBER_CONTROLS(f)                                        \
	{                                                         \
		{ "latency_us", &(f)->latency_us },               \
			{ "connect_us", &(f)->connect_us },       \
			{ "slots", &(f)->slots },                 \
			{ "connections", &(f)->connections },     \
			{ "lag_ms", &(f)->lag_ms },               \
			{ "drop_replies", &(f)->drop_replies },   \
			{ "drop_requests", &(f)->drop_requests }, \
	}
#define FLAG_CONTROLS(f)                                                \
	{                                                               \
		{ "paused", &(f)->paused }, { "refuse", &(f)->refuse }, \
			{ "cut_replication", &(f)->cut_replication },   \
			{ "departing", &(f)->departing },               \
	}
#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

static int check_control(struct faults *f, const char *name, const json_t *v,
			 struct error *e);
static void set_control(struct faults *f, const char *name, const json_t *v,
			uint64_t next_seq);

/* Sets the initial delays and limits, with no other fault. */
void faults_init(struct faults *f, const struct fault_settings *s)
{
	memset(f, 0, sizeof(*f));
	atomic_init(&f->latency_us, s->latency_us);
	atomic_init(&f->connect_us, s->connect_us);
	atomic_init(&f->slots, s->slots);
	atomic_init(&f->connections, s->connections);
	atomic_init(&f->lag_ms, s->lag_ms);
}

/*
 * Applies the fields of a control document. Returns 0, or -1 with
 * UNPROCESSABLE and nothing changed. The field "silent" set to true silences
 * the connections whose sequence number is below "next_seq".
 */
int faults_set(struct faults *f, const json_t *j, uint64_t next_seq,
	       struct error *e)
{
	const char *name;
	json_t *v;

	if (!json_is_object(j))
		return error_set(e, ERR_UNPROCESSABLE, STEP_PARSE, NULL,
				 "control document is not an object");
	json_object_foreach((json_t *)j, name, v)
	{
		if (check_control(f, name, v, e))
			return -1;
	}
	json_object_foreach((json_t *)j, name, v)
	{
		set_control(f, name, v, next_seq);
	}
	return 0;
}

/* Returns the current value of every control as a new JSON object. */
json_t *faults_to_json(struct faults *f)
{
	const struct number_control numbers[] = NUMBER_CONTROLS(f);
	const struct flag_control flags[] = FLAG_CONTROLS(f);
	json_t *j = json_object();
	size_t i;

	for (i = 0; i < ARRAY_SIZE(numbers); i++)
		json_object_set_new(
			j, numbers[i].name,
			json_integer(atomic_load(numbers[i].value)));
	for (i = 0; i < ARRAY_SIZE(flags); i++)
		json_object_set_new(j, flags[i].name,
				    json_boolean(atomic_load(flags[i].value)));
	json_object_set_new(j, "silent",
			    json_boolean(atomic_load(&f->silent_before) > 0));
	return j;
}

/* Decrements a counter of pending faults. Returns false if it is already 0. */
bool faults_consume(atomic_llong *remaining)
{
	long long n = atomic_load(remaining);

	while (n > 0) {
		if (atomic_compare_exchange_weak(remaining, &n, n - 1))
			return true;
	}
	return false;
}

/*
 * Checks that a control exists and that the value has its type and is not
 * negative. Returns 0, or -1 with UNPROCESSABLE.
 */
static int check_control(struct faults *f, const char *name, const json_t *v,
			 struct error *e)
{
	const struct number_control numbers[] = NUMBER_CONTROLS(f);
	const struct flag_control flags[] = FLAG_CONTROLS(f);
	size_t i;

	for (i = 0; i < ARRAY_SIZE(numbers); i++) {
		if (strcmp(numbers[i].name, name) == 0 && json_is_integer(v) &&
		    json_integer_value(v) >= 0)
			return 0;
	}
	for (i = 0; i < ARRAY_SIZE(flags); i++) {
		if (strcmp(flags[i].name, name) == 0 && json_is_boolean(v))
			return 0;
	}
	if (strcmp(name, "silent") == 0 && json_is_boolean(v))
		return 0;
	return error_set(e, ERR_UNPROCESSABLE, STEP_PARSE, NULL,
			 "unknown control, wrong type or value: %s", name);
}

/* Sets a control whose value has been checked. */
static void set_control(struct faults *f, const char *name, const json_t *v,
			uint64_t next_seq)
{
	const struct number_control numbers[] = NUMBER_CONTROLS(f);
	const struct flag_control flags[] = FLAG_CONTROLS(f);
	size_t i;

	for (i = 0; i < ARRAY_SIZE(numbers); i++) {
		if (strcmp(numbers[i].name, name) == 0)
			atomic_store(numbers[i].value, json_integer_value(v));
	}
	for (i = 0; i < ARRAY_SIZE(flags); i++) {
		if (strcmp(flags[i].name, name) == 0)
			atomic_store(flags[i].value, json_is_true(v));
	}
	if (strcmp(name, "silent") == 0)
		atomic_store(&f->silent_before,
			     json_is_true(v) ? (long long)next_seq : 0);
}
