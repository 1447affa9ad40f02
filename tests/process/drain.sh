#!/bin/sh
# A planned stop under load: the VM becomes not ready first, interrupts no
# request and exits with 0, also with further SIGTERMs and with an open
# transaction.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
SETTINGS='"drain_notice_ms": 1500, "drain_max_ms": 15000,'
fleet --latency-us 20000

# caller VM KEY: increments KEY through a VM, each time on a new connection, and
# through v1 once the load balancer would have moved the caller
caller() {
	home=$1
	until [ -e "$T/enough" ]; do
		V=$home
		[ ! -e "$T/moved.$home" ] || V=v1
		write "increment $2 1"
		echo "$CODE $(cat "$T/body$W")" >>"$T/answers$W"
	done
}
# start_callers VM KEY: starts six callers
start_callers() {
	rm -f "$T/enough" "$T"/answers.*
	CALLERS=
	for n in 1 2 3 4 5 6; do
		(W=.$n; caller "$1" "$2") &
		CALLERS="$CALLERS $!"
	done
	eventually 50 done_at_least 20 || echo "# the callers are not served"
}
count() { cat "$T"/answers.* 2>/dev/null | grep -c "^$1"; }
done_at_least() { [ "$(count 200)" -ge "$1" ]; }
end_callers() {
	: >"$T/enough"
	for p in $CALLERS; do
		wait "$p"
	done
	grep -hv '^200' "$T"/answers.* | cut -c1-160 | sed 's/^/# /' | head -5
}
ready() { curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(at "$1")/readyz"; }
is_ready() { [ "$(ready "$1")" = "$2" ]; }
phase() { grep -q "vm_drain .*phase=$2" "$T/$1.log"; }

# drained NAME VM KEY SIGNALS: stops the VM under load with so many SIGTERMs and
# checks the drain
drained() {
	start_callers "$2" "$3"
	ok "$1: ready before" is "$(ready "$2")" 200
	pid=$(pid_of "$2")
	kill -TERM "$pid"
	ok "$1: not ready after SIGTERM" eventually 20 is_ready "$2" 503
	ok "$1: not ready before it refuses requests" not phase "$2" refuse
	served=$(count 200)
	ok "$1: still serving" eventually 20 done_at_least $((served + 6))
	: >"$T/moved.$2"
	n=1
	while [ $n -lt "$4" ]; do
		kill -TERM "$pid"
		n=$((n + 1))
	done
	wait "$pid"
	ok "$1: exit 0" is $? 0
	ok "$1: not forced" not grep -q forced "$T/$2.log"
	served=$(count 200)
	ok "$1: callers continue at another VM" eventually 50 \
	    done_at_least $((served + 20))
	end_callers
	ok "$1: no request interrupted or refused" is \
	    "$(cat "$T"/answers.* | grep -vc '^200')" 0
	ok "$1: each request ran once" holds "$3" "$(count 200)" v1
}

# v2 is told to stop while it holds an open transaction.
V=v2
call POST /transactions
X=$(sed -n 's/.*"transaction": *"\([^"]*\)".*/\1/p' "$T/body")
write "put tx 1" ",\"transaction\":\"$X\""
ok "a transaction is open" answered 200
kill -TERM "$PID_v2"
ok "not ready with an open transaction" eventually 20 is_ready v2 503
V=v1
write "put tx 2" ",\"transaction\":\"$X\""
ok "the next statement of it, through v1, is done" answered 200 '"outcome":"done"'
call POST "/transactions/$X/commit"
ok "the commit of it is done" answered 200 '"outcome":"done"'
wait "$PID_v2"
ok "exit 0 after the commit" is $? 0
ok "the committed value is read" holds tx 2 v1

drained "under load" v3 a 1
start_vm 4
V=v4
ok "a new VM serves" eventually 80 serves
V=v1
drained "SIGTERM three times" v4 b 3
finish
