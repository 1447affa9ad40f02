#!/bin/sh
# Guards against callers that are refused for good by a configuration that their VM
# does not know to be the newest, and against configurations that go back: three VMs
# on a fake platform, of which it may turn two away.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

start_vms() {
	vms=
	for n in 1 2 3; do
		vm_settings "f$n" "$n" "$([ "$n" = 1 ] && echo "$PLATFORM" || echo "$SECOND")" 1000
		start "f$n" "$G" serve -f "$T/f$n.json" || exit 1
	done
	for n in 1 2 3; do
		ok "f$n gets ready" eventually 200 vm_ready "f$n"
		vms="$vms f$n=$(vm_address "f$n" callers)=$(pid_of "f$n")"
	done
}

# Kills all VMs at once and starts them again.
restart_vms() {
	for n in 1 2 3; do
		kill -9 "$(pid_of "f$n")"
	done
	for n in 1 2 3; do
		pid=$(pid_of "f$n")
		wait "$pid" 2>/dev/null
		PIDS=$(echo "$PIDS " | sed "s/ $pid / /")
	done
	start_vms
}

cases() { checks_of "" perl tests/process/config_confirmed.pl "$1" "$PLATFORM" $vms; }

topology_begin
start_sessions_platform f-platform
start_vms
cases "cut_off stood_still alone_with_store same_version before_restart"
restart_vms
cases "after_restart"
finish
