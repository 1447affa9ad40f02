#!/bin/sh
# Guards against statements that reach a database of an evacuated failure domain, and
# against writes that are lost, run twice or stop for too long, primaries that move
# without need, and reads that fail, while domains are evacuated and return. Fleets of
# 5 and 9 VMs, each on a fake platform of its own, run at the same time.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

EVACUATE_MS=5000

# start_fleet PREFIX SIZE: starts a fake platform and VMs; sets VMS for its cases
start_fleet() {
	fleet=$1
	start_sessions_platform "$fleet-platform"
	for n in $(seq "$2"); do
		vm_settings "$fleet$n" "$n" "$PLATFORM" 1500 $EVACUATE_MS
		start "$fleet$n" "$G" serve -f "$T/$fleet$n.json" || exit 1
	done
	VMS=
	for n in $(seq "$2"); do
		ok "$fleet$n gets ready" eventually 200 vm_ready "$fleet$n"
		VMS="$VMS $fleet$n=$(vm_address "$fleet$n" callers)=$(pid_of "$fleet$n")"
	done
}

# run_cases CASE...: runs cases on the fleet that was started last, in the background
run_cases() {
	perl tests/process/evacuation_statements.pl "$*" "$PLATFORM" "$T" \
	    "$EVACUATE_MS" $VMS >"$T/cases-$fleet" 2>&1 &
	CASES_PID=$!
	PIDS="$PIDS $CASES_PID"
}

# VMs hand over nothing in their first 5 s, as a promotion of before may be in
# progress; so the first cases need no hand-over in time.
topology_begin
start_fleet s 5
run_cases ${CASES_OF_5:-all two primary withdrawn_late withdrawn_50 withdrawn_200 withdrawn_800 cut_off killed_promote}
of_5=$CASES_PID
start_fleet t 9
run_cases ${CASES_OF_9:-replica suspended suspended_long store_away dies killed_fence}
of_9=$CASES_PID
wait "$of_5" "$of_9"
checks_of "5 VMs, " cat "$T/cases-s"
checks_of "9 VMs, " cat "$T/cases-t"
finish
