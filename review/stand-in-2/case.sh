# Functions of the cases: start the stand-in and the VMs, end them. Sourced by run.sh
# from the root of the repository.
ROOT=$PWD
HERE=review/stand-in-2
OUT=${CASE:?}/record.txt
TMP=$(mktemp -d) || exit 2
PIDS=
REGION=r
DOMAINS='{"z-1": "r", "z-2": "r", "z-3": "r"}'
: >"$OUT"

end_all() {
	for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$TMP"
}
trap end_all EXIT
trap 'exit 2' INT TERM

fail_start() { echo "could not run: $1" | tee -a "$OUT"; exit 2; }

# until_true TENTHS COMMAND...
until_true() {
	left=$1
	shift
	until "$@"; do
		left=$((left - 1))
		[ "$left" -gt 0 ] || return 1
		sleep 0.1
	done
}

# start_world SERVICE...: sets PLATFORM, and SECOND for VMs of the second group
start_world() {
	perl $HERE/world.pl "$OUT" "$@" >"$TMP/world.out" 2>"$TMP/world.err" &
	PIDS="$PIDS $!"
	until_true 50 grep -q '^ready' "$TMP/world.out" || fail_start "stand-in: $(cat "$TMP/world.err")"
	PLATFORM=$(sed -n 's/^ready \([^ ]*\).*/\1/p' "$TMP/world.out")
	SECOND=$(sed -n 's/^ready [^ ]* //p' "$TMP/world.out")
}

# settings NAME ZONE: as deploy/settings.json renders them, with ports of the system's choice
settings() {
	cat >"$TMP/$1.json" <<END
{ "form": "sessions", "vm": "$1", "domain": "z-$2", "region": "$REGION",
  "caller_listen": "127.0.0.1:${PORT_CALLERS:-0}", "ready_listen": "127.0.0.1:${PORT_PROBES:-0}",
  "peer_listen": "127.0.0.1:${PORT_PEERS:-0}", "metrics_listen": "127.0.0.1:0",
  "platform": "${VM_PLATFORM:-$PLATFORM}", "promotion": "${VM_PROMOTION:-$PLATFORM}",
  "grace_s": 6, "domains": $DOMAINS,
  "cpu_share": 0.25, "platform_timeout_ms": 1500, "timeline_events": 1024 }
END
}

# start_vm NAME ZONE: sets PID_NAME
start_vm() {
	settings "$1" "$2"
	target/gypsumcleat serve -f "$TMP/$1.json" >"$TMP/$1.out" 2>&1 &
	eval "PID_$1=$!"
	PIDS="$PIDS $!"
	until_true 50 grep -q '^ready.*metrics' "$TMP/$1.out" || fail_start "VM $1: $(tail -3 "$TMP/$1.out")"
}
address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$TMP/$1.out" | tail -1; }
callers() { for vm in "$@"; do printf '%s ' "$(address "$vm" callers)"; done; }
vm_ready() { perl -I$HERE -MClient -e 'exit !Client::ready($ARGV[0])' "$(address "$1" probes)"; }
wait_ready() { for vm in "$@"; do until_true 150 vm_ready "$vm" || fail_start "VM $vm is not ready"; done; }
keep_logs() { [ -z "${LOGS:-}" ] || { mkdir -p "$LOGS"; cp "$TMP"/*.out "$LOGS"/; }; }
