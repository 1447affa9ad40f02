#!/bin/sh
# Tests restorations of the platform's store from an older copy, at any moment of
# a promotion: three VMs on a fake platform that does not check fencing tokens.
# Prints how long writes fail then, also with eight VMs.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

settings() { # name number
	cat >"$T/$1.json" <<END
{ "form": "sessions", "vm": "$1", "domain": "z-$((($2 - 1) % 3 + 1))",
  "region": "r", "caller_listen": "127.0.0.1:0",
  "ready_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
  "metrics_listen": "127.0.0.1:0", "platform": "$PLATFORM",
  "promotion": "$PLATFORM", "grace_s": 6, "platform_timeout_ms": 1000 }
END
}

address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$T/$1.out"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address "$1" probes)/")" = 200 ]; }

# Starts the fake platform and so many VMs; sets VMS to their names.
start_vms() { # prefix count
	start "$1-platform" "$B/sessions-world" || exit 1
	PLATFORM=$(echo "$READY" | cut -d' ' -f2)
	curl -s -o /dev/null "http://$PLATFORM/control?do=no_fence&n=1"
	VMS=
	for n in $(seq "$2"); do
		settings "$1$n" "$n"
		start "$1$n" "$G" serve -f "$T/$1$n.json" || exit 1
		VMS="$VMS $1$n"
	done
	await_vms
}

await_vms() {
	for vm in $VMS; do
		ok "$vm gets ready" eventually 200 ready "$vm"
	done
}

# Runs cases of store_restored.pl and adds their counts.
run_cases() { # cases
	at=
	for vm in $VMS; do
		at="$at $vm=$(address "$vm" callers)"
	done
	perl tests/process/store_restored.pl "$1" "$T" "$PLATFORM" $at \
	    >"$T/cases" 2>&1
	grep -E '^(not ok|known red|#)' "$T/cases"
	counts=$(tail -1 "$T/cases")
	case $counts in
	*" passed, "*" failed") ;;
	*)
		echo "not ok cases $1 ended without counts: $counts"
		failed=$((failed + 1))
		return
		;;
	esac
	passed=$((passed + $(echo "$counts" | sed -n 's/^\([0-9]*\) passed.*/\1/p')))
	failed=$((failed + $(echo "$counts" | sed -n 's/.* \([0-9]*\) failed$/\1/p')))
}

topology_begin
start_vms r 3
run_cases "first claim mark promote effect config twice before_kill"
# shellcheck disable=SC2086
{
	kill_vms $VMS
	start_again $VMS
}
await_vms
run_cases "after_kill"
start_vms m 8
run_cases "first claim"
finish
