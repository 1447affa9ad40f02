#!/bin/sh
# Transactions: statements through a VM other than the one that holds the
# transaction, rollback, a repeated commit, failover, loss of the VM that holds
# the transaction, idle timeout, and withdrawal of the key.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
fleet --transaction-idle-ms 3000

begin() { # VM: sets X
	V=$1
	call POST /transactions
	X=$(sed -n 's/.*"transaction": *"\([^"]*\)".*/\1/p' "$T/body")
	[ "$CODE" = 200 ] && [ -n "$X" ] || {
		echo "# begin: $CODE $(cat "$T/body")"
		return 1
	}
}
run() { # STATEMENT KIND
	call POST /statements \
	    "{\"statement\":\"$1\",\"kind\":\"$2\",\"transaction\":\"$X\"}"
}
commit() { call POST "/transactions/$X/commit"; }
rollback() { call DELETE "/transactions/$X"; }

# Statements and commit through another VM.
ok "begun at v1" begin v1
run "put a 1" write
ok "a statement at v1" answered 200 '"outcome":"done"'
V=v2
run "increment a 5" write
ok "a statement through v2" answered 200 '"outcome":"done"'
run "get a" read
ok "a transaction reads its own writes" grep -q '"value": *"\{0,1\}6[^0-9]' "$T/body"
ok "others do not read them before the commit" holds a "" v3
V=v2
commit
ok "committed through v2" answered 200 '"outcome":"done"'
ok "others read them after the commit" holds a 6 v3
commit
ok "a second commit runs nothing again" holds a 6 v3
begin v1
run "increment a 1" write
ID=c1
commit
ok "committed with a request id" answered 200 '"outcome":"done"'
V=v2
commit
case $CODE in
200) ok "committed again with the id: done" answered 200 '"outcome":"done"' ;;
*) ok "committed again with the id: gone" answered 503 '"outcome":"not_run"' ;;
esac
ID=
ok "committed again with the id: ran once" holds a 7 v3

# Two open transactions; one is rolled back.
begin v1
one=$X
run "put b 1" write
begin v1
run "put c 1" write
X=$one V=v3
rollback
ok "rolled back through v3" [ "$CODE" -lt 300 ]
run "put b 2" write
ok "rolled back: statements are refused" answered 503 '"code":"transaction_gone"'
commit
ok "rolled back: it can't be committed" answered 503 '"outcome":"not_run"'
ok "rolled back: no effect" holds b "" v2
X=v1.0.0.0
run "put b 3" write
ok "an id that was never issued: refused" [ "$CODE" -ge 400 ]
ok "an id that was never issued: nothing ran" holds b "" v2

# A team can't use a transaction of another team.
begin v1
KEY=$KEY_t2
run "put b 4" write
ok "another team's transaction: refused" [ "$CODE" -ge 400 ]
commit
ok "another team's transaction: commit refused" [ "$CODE" -ge 400 ]
KEY=$KEY_t1
rollback
ok "another team's statement did not run" holds b "" v2

# Idle timeout.
begin v1
run "put d 1" write
# The stand-in ends an idle transaction when another one begins.
gone() {
	old=$X
	begin v2 && rollback
	X=$old V=v1
	curl -s -m 2 "http://$CONTROL_quotes_1/control" |
	    grep -q '"transactions": *0'
}
ok "an idle transaction ends" eventually 80 gone
commit
ok "committed too late: not run" answered 503 '"outcome":"not_run"'
ok "committed too late: no effect" holds d "" v2

# The key of an open transaction is withdrawn.
admin --json key issue t2 k2 >"$T/key"
K2=$(tr -d ' \n' <"$T/key" | sed 's/.*"secret":"\([^"]*\)".*/\1/')
KEY=$K2
known() {
	begin v2 && rollback
	[ "$CODE" -lt 300 ]
}
ok "a second key works" eventually 40 known
begin v1
run "put e 1" write
ok "a statement with the second key is done" answered 200
admin key withdraw t2 k2 >"$T/withdraw" 2>&1
stopped() {
	V=v2
	read_back "get a"
	[ "$CODE" = 401 ]
}
ok "the withdrawn key is refused within 4 s" eventually 40 stopped
V=v1
run "put e 2" write
ok "withdrawn: no more statements" answered 401 '"outcome":"not_run"'
commit
ok "withdrawn: no commit" answered 401 '"outcome":"not_run"'
KEY=$KEY_t1
ok "withdrawn: no effect" holds e "" v2

# The primary is killed during a transaction.
begin v1
run "put f 1" write
kill -KILL "$PID_quotes_1"
run "put g 1" write
ok "primary killed: no statement is done" [ "$CODE" != 200 ]
commit
ok "primary killed: not committed" [ "$CODE" != 200 ]
ok "primary killed: the outcome is not_run or unknown" \
    grep -qE '"outcome":"(not_run|unknown)"' "$T/body"
serves_again() { begin v2 && run "put h 1" write && commit && [ "$CODE" = 200 ]; }
ok "a new transaction runs at the new primary" eventually 70 serves_again
ok "primary killed: no effect" holds f "" v2
ok "primary killed: no effect of the later statement" holds g "" v2

# The VM that holds two transactions is killed: one is not yet committed, the
# other is being committed.
begin v3
run "put i 1" write
run "put j 1" write
second=$X
begin v3
run "put k 1" write
run "put l 1" write
third=$X
find_primary 2 3
control "quotes_$PRIMARY" '{"latency_us":300000}'
(W=.c; commit; echo "$CODE" >"$T/code") &
last=$!
busy() { db_status "$PRIMARY" | grep -q '"running": *[1-9]'; }
eventually 20 busy
kill -KILL "$PID_v3"
wait $last
control "quotes_$PRIMARY" '{"latency_us":0}'
V=v1 X=$second
commit
ok "holder killed: not committed" [ "$CODE" = 503 -o "$CODE" = 504 ]
ok "holder killed: the code is transaction_gone or outcome_unknown" \
    grep -qE '"code":"(transaction_gone|outcome_unknown)"' "$T/body"
ok "holder killed: no effect of the first statement" holds i "" v2
ok "holder killed: no effect of the second statement" holds j "" v2
both() { [ "$(value k)" = "$(value l)" ]; }
ok "holder killed during the commit: all or nothing" both
X=$third
commit
ok "committed again: the code is transaction_gone or outcome_unknown" \
    grep -qE '"code":"(transaction_gone|outcome_unknown)"' "$T/body"
ok "committed again: all or nothing" both
finish
