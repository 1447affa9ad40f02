#!/bin/sh
# Guards against configurations that come into force too late, and departures of
# databases that are learned too late, as the store turns most VMs away and watches
# miss the change: fleets of up to 63 VMs on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Runs cases of config_in_time.pl on a fleet. The platform may turn away all VMs
# but one.
run_fleet() { # fleet size the-one cases
	vms=
	start_sessions_platform "$1-platform"
	for n in $(seq "$2"); do
		vm_settings "$1$n" "$n" "$([ "$n" = "$3" ] && echo "$PLATFORM" || echo "$SECOND")" 1500
		start "$1$n" "$G" serve -f "$T/$1$n.json" || exit 1
	done
	for n in $(seq "$2"); do
		ok "$1$n gets ready" eventually 200 vm_ready "$1$n"
		vms="$vms $1$n=$(vm_address "$1$n" callers)"
	done
	checks_of "$2 VMs, " perl tests/process/config_in_time.pl "$4" "$PLATFORM" "$T" $vms
	for n in $(seq "$2"); do
		kill -9 "$(pid_of "$1$n")"
	done
}

topology_begin
run_fleet c 16 1 "from_now_on all busy silent reset restored"
# Two VMs of each failure domain read for it here; d4 is none of them at first.
run_fleet d 21 4 "settled_silent"
# Guards against a change that no VM reads in time, as the platform stops answering
# all VMs that read, and few of the others are answered.
run_fleet e 63 4 "readers_silent"
finish
