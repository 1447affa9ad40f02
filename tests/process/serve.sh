#!/bin/sh
# The process of a VM: start, refusal to start, and graceful stop.
set -u
cd "$(dirname "$0")/../.." || exit 1
. scripts/topology
passed=0 failed=0

# ok NAME COMMAND...: runs a check, which passes if the command does
ok() {
	check=$1
	shift
	if "$@"; then
		echo "ok $check"
		passed=$((passed + 1))
	else
		echo "not ok $check"
		failed=$((failed + 1))
	fi
}

# eventually COMMAND...: polls until the command succeeds, for at most 10 s
eventually() {
	left=100
	until "$@"; do
		left=$((left - 1))
		[ $left -gt 0 ] || return 1
		sleep 0.1
	done
}

# exits CODE COMMAND...: true if the command exits with the code
exits() {
	want=$1
	shift
	timeout 20 "$@" >"$T/out" 2>"$T/err"
	got=$?
	[ $got -eq "$want" ] || {
		echo "# exit $got, wanted $want"
		return 1
	}
}

said() { grep -q -- "$1" "$T/err"; }
status() { curl -s -m 5 -o "$T/body" -D "$T/head" -w '%{http_code}' "$@"; }
is() { [ "$1" = "$2" ] || { echo "# got $1, wanted $2"; return 1; }; }

topology_begin
ok "no command: 64" exits 64 "$G"
ok "unknown command: 64" exits 64 "$G" brew
ok "serve without a file: 64" exits 64 "$G" serve
ok "check without a file: 64" exits 64 "$G" check
ok "timeline without a VM: 64" exits 64 "$G" timeline
ok "check of a missing file: 78" exits 78 "$G" check -f "$T/none.json"
ok "the missing file is named" said none.json

echo '{"vm":"a b","shards":0,"colour":1,"probe_ms":"x"}' >"$T/bad.json"
for command in check serve; do
	ok "$command of bad settings: 78" exits 78 "$G" $command -f "$T/bad.json"
	ok "$command names the value and bound of shards" \
	    said 'bad.json: shards: 0: must be a whole number from 1 to 64'
	ok "$command names the unknown key" said 'bad.json: colour: 1:'
	ok "$command names the bad name" said 'bad.json: vm: "a b":'
	ok "$command names a missing key" said 'bad.json: platform: missing'
	ok "$command counts the refused settings" said 'bad.json: 11 settings refused'
done

start_platform && start_group quotes 5 35 || exit 1
SETTINGS='"drain_notice_ms": 1500, "drain_max_ms": 20000,'
start_vm 1 || exit 1
ok "check of good settings: 0" exits 0 "$G" check -f "$T/v1.json"
ok "ports are resolved" sh -c "! grep -q ':0 ' '$T/v1.out'"
ok "healthy" is "$(status "http://$CALLER_v1/healthz")" 200
ready() { [ "$(status "http://$CALLER_v1/readyz")" = 200 ]; }
ok "ready" eventually ready
ok "metrics with help and unit" sh -c "curl -s -m 5 http://$CALLER_v1/metrics |
    grep -q '^# UNIT gypsumcleat_peer_sent_bytes_total bytes'"

sed "s/127.0.0.1:0/$CALLER_v1/; s/\"v1\"/\"v9\"/" "$T/v1.json" >"$T/v9.json"
ok "an address in use: 1" exits 1 "$G" serve -f "$T/v9.json"
ok "the address and the step are named" said "listen $CALLER_v1"

ok "timeline prints the start" sh -c "'$G' timeline $ADMIN_v1 | grep -q ' v1 #1 1001 vm_start '"
ok "timeline fails if a VM is not reached" exits 1 "$G" timeline \
    "$ADMIN_v1" 127.0.0.1:1
ok "timeline names the VM not reached" said 'not reached: 127.0.0.1:1'
ok "timeline prints the other VMs" grep -q vm_start "$T/out"

# The stop: the VM is not ready but serves, gets a second SIGTERM and exits
# with 0.
kill -TERM "$PID_v1"
ok "not ready after SIGTERM" eventually sh -c \
    "[ \"\$(curl -s -m 5 -o /dev/null -w '%{http_code}' http://$CALLER_v1/readyz)\" = 503 ]"
ok "still healthy" is "$(status "http://$CALLER_v1/healthz")" 200
ok "answers close the connection" grep -qi '^connection: close' "$T/head"
kill -TERM "$PID_v1"
wait "$PID_v1"
ok "exit 0 after the drain, with a second SIGTERM" is $? 0
ok "the log has each phase" sh -c "
    grep -q '1003 vm_drain .*phase=notice' '$T/v1.log' &&
    grep -q '1003 vm_drain .*phase=refuse' '$T/v1.log' &&
    grep -q '1004 vm_stop' '$T/v1.log'"
ok "the drain was not forced" sh -c "! grep -q forced '$T/v1.log'"
ok "no key in the log" sh -c "! grep -q '$OPERATOR_KEY' '$T/v1.log'"

# A statement in progress when the drain begins is not interrupted.
SETTINGS='"drain_notice_ms": 300, "drain_max_ms": 20000,
    "reply_timeout_ms": 8000, "suspect_ms": 9000,'
start_vm 2 || exit 1
"$G" admin -a "$ADMIN_v2" defaults put --rate=1000 --burst=1000 \
    --staleness-ms=1000 >"$T/admin" 2>&1
"$G" admin -a "$ADMIN_v2" team put t1 quotes >>"$T/admin" 2>&1
KEY=$("$G" admin -a "$ADMIN_v2" --json key issue t1 2>>"$T/admin" |
    sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
post() { # BODY FILE
	curl -s -m 15 -o "$2" -D "$2.head" -w '%{http_code}' \
	    -H "Authorization: Bearer $KEY" -d "$1" \
	    "http://$CALLER_v2/v1/services/quotes/statements"
}
get='{"statement":"get ?","parameters":["k"],"deadline_ms":15000}'
served() { [ "$(post "$get" "$T/get")" = 200 ]; }
ok "a statement is served" eventually served
curl -s -m 5 -o "$T/set" -d '{"latency_us":3000000}' \
    "http://$CONTROL_quotes_1/control"
post "$get" "$T/long" >"$T/long.code" &
long=$!
running() { curl -s -m 5 "http://$DB_quotes_1/v1/status" |
    grep -q '"running": *[1-9]'; }
ok "a long statement runs" eventually running
kill -TERM "$PID_v2"
ok "new work is refused after the notice" eventually \
    grep -q 'vm_drain .*phase=refuse' "$T/v2.log"
ok "new work is refused with 503" is "$(post "$get" "$T/new")" 503
ok "new work is refused as draining, not run" grep -q \
    '"outcome":"not_run","error":{"code":"draining","step":"drain"' "$T/new"
ok "the refusal has a retry time" grep -qi '^retry-after: 1' "$T/new.head"
wait "$long"
ok "the long statement is answered" is "$(cat "$T/long.code")" 200
wait "$PID_v2"
ok "exit 0 after the long statement" is $? 0
ok "the drain with a long statement was not forced" sh -c "! grep -q forced '$T/v2.log'"

start_vm 3 || exit 1
kill -INT "$PID_v3"
wait "$PID_v3"
ok "SIGINT drains too" is $? 0

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
