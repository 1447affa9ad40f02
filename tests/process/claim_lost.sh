#!/bin/sh
# Guards against claims that fail, or are made twice, because their answer was lost or
# their connection fell silent: three VMs on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Prints the number of calls that followed an overdue or lost one, of all VMs.
repeated() {
	for n in 1 2 3; do
		curl -s "http://$(vm_address "c$n" metrics)/metrics"
	done | awk '/^gypsumcleat_platform_repeated_calls_total /{ n += $2 } END { print n }'
}

topology_begin
start_sessions_platform c-platform
at=
for n in 1 2 3; do
	vm_settings "c$n" "$n" "$PLATFORM" 1500
	start "c$n" "$G" serve -f "$T/c$n.json" || exit 1
done
for n in 1 2 3; do
	ok "c$n gets ready" eventually 200 vm_ready "c$n"
	at="$at $(vm_address "c$n" callers)"
done
ok "no call is repeated without a fault" is "$(repeated)" 0
checks_of "" perl tests/process/claim_lost.pl "$PLATFORM" $at
# Three writes were read back, and one of them was made again.
ok "the calls are counted" test "$(repeated)" -ge 4
finish
