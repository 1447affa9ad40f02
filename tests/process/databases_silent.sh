#!/bin/sh
# Guards against reads that wait for a connection to a database which fell silent
# without a reset, while others to the same database work: three VMs on a fake
# platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform d-platform
at=
for n in 1 2 3; do
	vm_settings "d$n" "$n" "$PLATFORM" 1500
	start "d$n" "$G" serve -f "$T/d$n.json" || exit 1
done
for n in 1 2 3; do
	ok "d$n gets ready" eventually 200 vm_ready "d$n"
	at="$at $(vm_address "d$n" callers)"
done
checks_of "" perl tests/process/databases_silent.pl "$T" "$PLATFORM" $at
finish
