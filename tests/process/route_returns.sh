#!/bin/sh
# Guards against a session that does not see its own writes after its route has led to
# other services and back. Three VMs on a fake platform, so that most statements are
# executed by another VM than the caller's.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform platform
at=
for n in 1 2 3; do
	vm_settings "s$n" "$n" "$PLATFORM" 1500
	start "s$n" "$G" serve -f "$T/s$n.json" || exit 1
	ok "VM $n gets ready" eventually 100 vm_ready "s$n"
	at="$at $(vm_address "s$n" callers)"
done
# shellcheck disable=SC2086
checks_of "" perl tests/process/route_returns.pl "$PLATFORM" $at
finish
