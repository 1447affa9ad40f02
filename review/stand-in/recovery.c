#include "recovery.h"

#include <signal.h>
#include <stdlib.h>

#include "traffic.h"
#include "world.h"

static const char *const zones[] = { "kr-south-a", "kr-south-b", "kr-south-c" };
static int first; /* of the three VMs that are there now */

bool recovery_begin(void)
{
	char name[32];
	int i;

	record_file = fopen(getenv("CASE_RECORD"), "w");
	if (!record_file)
		return false;
	world_start(3, zones);
	for (i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "front-%s-1", zones[i]);
		if (!vm_start(i, name, zones[i]))
			return false;
	}
	for (i = 0; i < 3; i++)
		if (!vm_wait_ready(i, READY_MS))
			return false;
	note("all VMs are ready");
	traffic_start();
	sleep_ms(2000);
	return true;
}

bool recovery_replace_machines(void)
{
	char name[32];
	int i;

	for (i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "front-%s-2", zones[i]);
		if (!vm_start(3 + i, name, zones[i]) ||
		    !vm_wait_ready(3 + i, READY_MS))
			return false;
		note("%s is ready", name);
		vm_signal(i, SIGTERM);
		if (!vm_wait_end(i, GRACE_MS)) {
			vm_signal(i, SIGKILL);
			vm_wait_end(i, 1000);
		}
		first = 3;
		sleep_ms(1000);
	}
	return true;
}

bool recovery_kill_all(bool with_primary, int64_t *fault_at, int64_t *back_at)
{
	char name[32];
	int i;

	*fault_at = now_ms();
	note("all processes are killed%s",
	     with_primary ? ", and the primary is lost for good" : "");
	vms_kill_all();
	if (with_primary)
		database_crashes(0);
	sleep_ms(DOWN_MS);
	for (i = first; i < first + 3; i++) {
		snprintf(name, sizeof(name), "%s", vms[i].name);
		if (!vm_start(i, name, zones[i - first]))
			return false;
	}
	*back_at = now_ms();
	return true;
}

void recovery_note_ready(void)
{
	int i;

	for (i = first; i < first + 3; i++)
		note("%s is %s", vms[i].name,
		     vm_probe(i) ? "ready" : "not ready");
}

int recovery_judge(int64_t fault_at, int64_t back_at)
{
	int64_t from = back_at + RECOVERY_MS, to = from + WINDOW_MS;
	int before, before_ok, after, after_ok;

	traffic_note_all();
	note_arrivals();
	before = traffic_count(fault_at - 5000, fault_at - 500, &before_ok);
	after = traffic_count(from, to, &after_ok);
	traffic_note_unserved(from, to, 10);
	note("before the final fault %d sent, %d served; from %d to %d ms "
	     "after the return %d sent, %d served",
	     before, before_ok, RECOVERY_MS, RECOVERY_MS + WINDOW_MS, after,
	     after_ok);
	if (before == 0 || 4 * before_ok < before || after == 0)
		return 2;
	note(4 * after_ok < after ? "RECOVER is broken" : "RECOVER held");
	return 4 * after_ok < after;
}
