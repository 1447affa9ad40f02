#!/bin/sh
# Guards against a failover that drops acknowledged writes where a write is
# acknowledged once one replica has received it: the database that has them departs,
# falls silent, lapses from the registry or fails in its turn. Three VMs on a fake
# platform.
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
checks_of "" perl tests/process/sync_replicas.pl "$PLATFORM" $at
finish
