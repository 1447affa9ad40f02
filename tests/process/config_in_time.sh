#!/bin/sh
# Guards against configurations that come into force too late, and departures of
# databases that are learned too late, as the store turns most VMs away and watches
# miss the change: sixteen VMs on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
N_VMS=16

settings() { # number platform
	cat >"$T/c$1.json" <<END
{ "form": "sessions", "vm": "c$1", "domain": "z-$((($1 - 1) % 3 + 1))",
  "region": "r", "caller_listen": "127.0.0.1:0",
  "ready_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
  "metrics_listen": "127.0.0.1:0", "platform": "$2",
  "promotion": "$PLATFORM", "grace_s": 6, "platform_timeout_ms": 1500 }
END
}

address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$T/c$1.out"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address "$1" probes)/")" = 200 ]; }

topology_begin
start platform "$B/sessions-world" || exit 1
PLATFORM=$(echo "$READY" | cut -d' ' -f2)
SECOND=$(echo "$READY" | cut -d' ' -f3)
VMS=
# The first VM always reaches the store.
for n in $(seq "$N_VMS"); do
	settings "$n" "$([ "$n" = 1 ] && echo "$PLATFORM" || echo "$SECOND")"
	start "c$n" "$G" serve -f "$T/c$n.json" || exit 1
done
for n in $(seq "$N_VMS"); do
	ok "c$n gets ready" eventually 200 ready "$n"
	VMS="$VMS c$n=$(address "$n" callers)"
done
perl tests/process/config_in_time.pl "$PLATFORM" "$T" $VMS >"$T/cases" 2>&1
while read -r line; do
	case $line in
	"not ok "*) ok "${line#not ok }" false ;;
	"ok "*) ok "${line#ok }" true ;;
	"#"*) echo "$line" ;;
	esac
done <"$T/cases"
ok "the cases end" grep -q '^[0-9]* passed, [0-9]* failed$' "$T/cases"
finish
