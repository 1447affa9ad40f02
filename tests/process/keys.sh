#!/bin/sh
# Keys of callers: all VMs refuse a withdrawn key, also on open connections and
# when the platform goes down right after the withdrawal; a key is valid only
# for its own team; keys are never sent to databases.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Replaces the function of scripts/topology: adds a relay in front of the
# database that records the bytes sent to it.
start_database() { # service number [options]
	db=$1-$2 v=$1_$2 s=$1 n=$2
	shift 2
	start "$db" "$G" standin database -n "$db" -l 127.0.0.1:0 \
	    -c 127.0.0.1:0 --domain "d$n" "$@" || return 1
	eval "CONTROL_$v=$(echo "$READY" | cut -d' ' -f3)"
	start "relay-$n" perl tests/process/relay.pl \
	    "$(echo "$READY" | cut -d' ' -f2)" "$T/sent" || return 1
	eval "DB_$v=$(echo "$READY" | cut -d' ' -f2)"
}
fleet

issue() { # TEAM ID: prints the secret
	admin --json key issue "$1" "$2" | tr -d ' \n' |
	    sed 's/.*"secret":"\([^"]*\)".*/\1/'
}
# asker VM COUNT: sends COUNT reads on one connection, 20 a second; records the
# status and the number of new connections of each
asker() {
	curl -s -m 30 --rate 20/s -o /dev/null \
	    -w '%{http_code} %{num_connects}\n' \
	    -H "Authorization: Bearer $KEY" \
	    -d '{"statement":"get a","kind":"read"}' \
	    "http://$(at "$1")/v1/services/$SERVICE/statements?[1-$2]" \
	    >"$T/asked.$1"
}
asked() { wc -l <"$T/asked.$1"; }
asked_at_least() { [ "$(asked "$1")" -ge "$2" ]; }
all_asked() {
	for v in v1 v2 v3; do
		asked_at_least $v "$1" || return 1
	done
}
is_stopped() { tail -n 1 "$T/asked.$1" | grep -q '^401'; }
start_askers() {
	ASKERS=
	for v in v1 v2 v3; do
		: >"$T/asked.$v"
		asker $v 160 &
		ASKERS="$ASKERS $!"
	done
	eventually 50 all_asked 10
}
now_ms() { echo $(($(date +%s%N) / 1000000)); }

# stops NAME: checks that each VM refuses the key within 4 s of WITHDRAWN, on
# the open connection, and never serves it again
stops() {
	for v in v1 v2 v3; do
		eventually 60 is_stopped $v
		took=$(($(now_ms) - WITHDRAWN))
		ok "$1: $v refuses it within 4 s" [ $took -le 4000 ]
	done
	for p in $ASKERS; do
		wait "$p"
	done
	for v in v1 v2 v3; do
		ok "$1: $v served it before" \
		    [ "$(head -n 10 "$T/asked.$v" | grep -c '^200')" -eq 10 ]
		ok "$1: $v refused it on the open connection" is \
		    "$(grep -m 1 '^401' "$T/asked.$v")" "401 0"
		ok "$1: $v never served it again" is "$(sed '1,/^401/d' \
		    "$T/asked.$v" | grep -vc '^401')" 0
	done
}

# True if all VMs serve the key.
usable() {
	for V in v1 v2 v3; do
		serves || {
			echo "# $V: $CODE $(cat "$T/body")"
			return 1
		}
	done
	V=v1
}

# The bytes sent to databases contain neither a key nor its hash.
write "put marker 4711"
ok "a write is done" answered 200
V=v2
write "put marker 4712" '' 
call POST /transactions
X=$(sed -n 's/.*"transaction": *"\([^"]*\)".*/\1/p' "$T/body")
V=v3
write "put marker 4713" ",\"transaction\":\"$X\""
call POST "/transactions/$X/commit"
ok "a transaction is done" answered 200
V=v1 ID=k-1
write "put marker 4714"
ID=
sent() { grep -qaF -- "$1" "$T/sent"; }
for n in 4711 4712 4713 4714; do
	ok "the record contains what was sent (marker $n)" sent "marker $n"
done
for k in "$KEY_t1" "$KEY_t2"; do
	ok "the key is long enough to be searched for" [ ${#k} -ge 40 ]
	ok "the key is not sent to a database" not sent "$k"
	i=0
	while [ $i -lt 4 ]; do
		from=$((${#k} - 8 * (i + 1) + 1))
		part=$(echo "$k" | cut -c$from-$((from + 7)))
		ok "no eight bytes of the key are sent ($((i + 1)) of 4)" not sent "$part"
		i=$((i + 1))
	done
	ok "the hash of the key is not sent" not sent "$(printf %s "$k" | b2sum -l 256 | cut -d' ' -f1)"
done
ok "no Authorization header is sent" not grep -qai '^authorization' "$T/sent"
ok "no log contains the key" not grep -qF -- "$KEY_t1" "$T"/*.log

# Keys and teams.
admin team put t3 nowhere >"$T/admin" 2>&1
KEY=$(issue t3 k1)
forbidden() {
	read_back "get marker"
	[ "$CODE" = 403 ]
}
for V in v1 v2 v3; do
	ok "$V: a team without the service: 403" eventually 40 forbidden
	ok "$V: a team without the service: not run" answered 403 '"outcome":"not_run"'
done
KEY=$KEY_t1
ok "the other team's key is served" usable
call POST /transactions
X=$(sed -n 's/.*"transaction": *"\([^"]*\)".*/\1/p' "$T/body")
KEY=$KEY_t2
write "put theirs 1" ",\"transaction\":\"$X\""
ok "a transaction of another team: refused" [ "$CODE" -ge 400 ]
KEY=$KEY_t1
call DELETE "/transactions/$X"
ok "its statement did not run" holds theirs ""
good=$KEY
for KEY in "x$good" "${good}x" "$(echo "$good" | tr 'a-y' 'b-z')" "k1" ""; do
	write "put wrong 1"
	ok "a wrong key (${#KEY} bytes): 401" answered 401 '"outcome":"not_run"'
done
KEY=$good
ok "no statement with a wrong key ran" holds wrong ""

# Withdrawal.
KEY=$(issue t1 k2)
ok "a second key works at all VMs" eventually 40 usable
start_askers
admin key withdraw t1 k2 >"$T/admin" 2>&1
ok "a withdrawal is accepted" is $? 0
WITHDRAWN=$(now_ms)
stops "withdrawn"
KEY=$KEY_t1
ok "the team's other key is served" usable

# The platform goes down right after it accepted the withdrawal.
KEY=$(issue t1 k3)
ok "a third key works at all VMs" eventually 40 usable
start_askers
admin key withdraw t1 k3 >"$T/admin" 2>&1
accepted=$?
control platform '{"down":true}'
WITHDRAWN=$(now_ms)
ok "another withdrawal is accepted" is $accepted 0
stops "platform down"
KEY=$KEY_t1
ok "other keys are served during the outage" usable
control platform '{"down":false}'
finish
