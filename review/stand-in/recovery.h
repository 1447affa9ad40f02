/* What the scripts for RECOVER share. */
#ifndef REVIEW_RECOVERY_H
#define REVIEW_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#define RECOVERY_MS 12000 /* bounds.recoveryS of hcs-quotes */
#define GRACE_MS    6000  /* bounds.graceS */
#define DOWN_MS	    1200  /* from the final fault to the next start */
#define READY_MS    25000
#define WINDOW_MS   8000

/* Starts the store, three databases and three VMs, one in each zone. */
bool recovery_begin(void);
/* Replaces each machine once, the new one first, then SIGTERM of the old. */
bool recovery_replace_machines(void);
/* Ends all processes at once and starts them again; the time of the start. */
bool recovery_kill_all(bool with_primary, int64_t *fault_at, int64_t *back_at);
/* Notes which VMs answer the readiness probe with 200. */
void recovery_note_ready(void);
/* Judges the rule; returns the exit code of the script. */
int recovery_judge(int64_t fault_at, int64_t back_at);

#endif
