#!/bin/sh
# Guards against failovers that wait for connections to the store which fell silent
# without a reset: 70 in 100 of them do, then the primary departs. Nine VMs, and 24,
# on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Starts the fake platform and so many VMs, and runs the rounds.
rounds() { # prefix count
	start_sessions_platform "$1-platform"
	at=
	for n in $(seq "$2"); do
		vm_settings "$1$n" "$n" "$PLATFORM" 1500
		start "$1$n" "$G" serve -f "$T/$1$n.json" || exit 1
	done
	for n in $(seq "$2"); do
		eventually 200 vm_ready "$1$n" || ok "$1$n gets ready" false
		at="$at $(vm_address "$1$n" callers)"
	done
	checks_of "" perl tests/process/store_silent.pl "$T" "$PLATFORM" $at
}

topology_begin
rounds a 9
rounds b 24
finish
