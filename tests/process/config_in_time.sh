#!/bin/sh
# Guards against configurations that come into force too late, and departures of
# databases that are learned too late, as the store turns most VMs away and watches
# miss the change: sixteen VMs on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

settings() { # fleet number platform
	cat >"$T/$1$2.json" <<END
{ "form": "sessions", "vm": "$1$2", "domain": "z-$((($2 - 1) % 3 + 1))",
  "region": "r", "caller_listen": "127.0.0.1:0",
  "ready_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
  "metrics_listen": "127.0.0.1:0", "platform": "$3",
  "promotion": "$PLATFORM", "grace_s": 6, "platform_timeout_ms": 1500 }
END
}

address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$T/$1.out"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address "$1" probes)/")" = 200 ]; }

# Runs cases of config_in_time.pl on a fleet. The platform may turn away all VMs
# but one.
run_fleet() { # fleet size the-one cases
	vms=
	start "$1-platform" "$B/sessions-world" || exit 1
	PLATFORM=$(echo "$READY" | cut -d' ' -f2)
	second=$(echo "$READY" | cut -d' ' -f3)
	for n in $(seq "$2"); do
		settings "$1" "$n" "$([ "$n" = "$3" ] && echo "$PLATFORM" || echo "$second")"
		start "$1$n" "$G" serve -f "$T/$1$n.json" || exit 1
	done
	for n in $(seq "$2"); do
		ok "$1$n gets ready" eventually 200 ready "$1$n"
		vms="$vms $1$n=$(address "$1$n" callers)"
	done
	perl tests/process/config_in_time.pl "$4" "$PLATFORM" "$T" $vms >"$T/cases" 2>&1
	while read -r line; do
		case $line in
		"not ok "*) ok "$2 VMs, ${line#not ok }" false ;;
		"ok "*) ok "$2 VMs, ${line#ok }" true ;;
		"#"*) echo "$line" ;;
		esac
	done <"$T/cases"
	ok "$2 VMs: the cases end" grep -q '^[0-9]* passed, [0-9]* failed$' "$T/cases"
	for n in $(seq "$2"); do
		kill -9 "$(pid_of "$1$n")"
	done
}

topology_begin
run_fleet c 16 1 "from_now_on all busy silent reset restored"
# VMs read for their failure domain here; c4 is none of them at first.
run_fleet d 21 4 "settled_silent"
finish
