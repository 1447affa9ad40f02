/*
 * All processes are killed and start again, while the primary is lost for
 * good. A quarter of the requests that are sent later than recoveryS after
 * that have to be served. TROUBLE=0 leaves the loss of the primary out.
 */
#include "recovery.h"

#include <stdlib.h>
#include <string.h>

#include "traffic.h"
#include "world.h"

int main(void)
{
	bool trouble = strcmp(getenv("TROUBLE"), "0") != 0;
	int64_t fault_at, back_at;
	int rc = 2;

	if (!recovery_begin())
		goto done;
	sleep_ms(6000);
	if (!recovery_kill_all(trouble, &fault_at, &back_at))
		goto done;
	while (now_ms() < back_at + RECOVERY_MS + WINDOW_MS) {
		sleep_ms(5000);
		recovery_note_ready();
	}
	sleep_ms(9000);
	traffic_stop();
	rc = recovery_judge(fault_at, back_at);
done:
	if (rc == 2)
		note("the case could not run");
	vms_kill_all();
	return rc;
}
