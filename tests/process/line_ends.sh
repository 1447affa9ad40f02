#!/bin/sh
# Guards against texts of callers, and rows of databases, that are split or cut at a line
# feed or a carriage return: a line ends with both, one after the other. Three VMs on a
# fake platform, so that statements are also forwarded between VMs.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform l-platform
at=
for n in 1 2 3; do
	vm_settings "l$n" "$n" "$PLATFORM" 1500
	start "l$n" "$G" serve -f "$T/l$n.json" || exit 1
done
for n in 1 2 3; do
	ok "l$n gets ready" eventually 200 vm_ready "l$n"
	at="$at $(vm_address "l$n" callers)"
done
# shellcheck disable=SC2086
checks_of "" perl tests/process/line_ends.pl "$PLATFORM" $at
finish
