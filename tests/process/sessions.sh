#!/bin/sh
# Tests the form "sessions": two VMs on a fake platform. Also checks that names of
# the platform's interface stand only where they are allowed.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Names of the platform's interface are allowed only in platform/ and its tests.
no_platform_names_in_src() {
	grep -rlE 'GYPSUMCLEAT_CONFIG|dbRole|Gypsumcleat-(Fencing|Duty)|Store-Era|maxStalenessMs|syncReplicas|STEPDOWN|gypsumcleat/objects' \
	    src && return 1
	return 0
}

# Each statement that one VM reports as executed via the other is found there.
forwarded_under_id() {
	for id in $(sed -n 's/.*statement_done vm=s1 id=\([^ ]*\) .* via=s2 .*/\1/p' "$T/s1.out"); do
		grep -q "statement_served vm=s2 id=$id " "$T/s2.out" || return 1
	done
	for id in $(sed -n 's/.*statement_done vm=s2 id=\([^ ]*\) .* via=s1 .*/\1/p' "$T/s2.out"); do
		grep -q "statement_served vm=s1 id=$id " "$T/s1.out" || return 1
	done
}

settings() { # number
	cat >"$T/s$1.json" <<END
{ "form": "sessions", "vm": "s$1", "domain": "z-$1", "region": "r",
  "caller_listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0",
  "peer_listen": "127.0.0.1:0", "metrics_listen": "127.0.0.1:0",
  "platform": "$PLATFORM", "promotion": "$PLATFORM", "grace_s": 6,
  "platform_timeout_ms": 1000 }
END
}

address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$T/s$1.out"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(address "$1" probes)/")" = 200 ]; }

topology_begin
ok "the platform's names stay in platform/" no_platform_names_in_src
start platform "$B/sessions-world" || exit 1
PLATFORM=$(echo "$READY" | cut -d' ' -f2)
for n in 1 2; do
	settings $n
	ok "settings of s$n are checked" "$G" check -f "$T/s$n.json" >/dev/null
	start "s$n" "$G" serve -f "$T/s$n.json" || exit 1
	ok "s$n gets ready" eventually 80 ready $n
done
kill -HUP "$PID_s1"
ok "SIGHUP is logged" eventually 50 grep -q "settings_reloaded vm=s1 taken=1 grace_s=6" "$T/s1.out"
perl tests/process/sessions.pl "$PLATFORM" "$(address 1 callers)" \
    "$(address 2 callers)" "$(address 2 probes)" "$PID_s2" >"$T/callers" 2>&1
grep -E '^(not ok|#)' "$T/callers"
counts=$(tail -1 "$T/callers")
passed=$((passed + $(echo "$counts" | sed -n 's/^\([0-9]*\) passed.*/\1/p')))
failed=$((failed + $(echo "$counts" | sed -n 's/.* \([0-9]*\) failed$/\1/p')))
wait "$PID_s2"
ok "the stopped VM exits with 0" is $? 0
metrics=$(curl -s "http://$(address 1 metrics)/")
ok "latencies are served" sh -c 'echo "$1" | grep -q "^gypsumcleat_statement_seconds_count [1-9]"' sh "$metrics"
ok "each answered statement is logged" grep -q "statement_done vm=s1 id=id0" "$T/s1.out"
# The databases stand in neither VM's domain, so either VM may own one.
ok "a VM executes statements of the other" grep -q "statement_served vm=s[12] id=" "$T/s1.out" "$T/s2.out"
ok "a forwarded statement is executed under its id" forwarded_under_id
finish
