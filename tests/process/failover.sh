#!/bin/sh
# Failover while writes run through three VMs: the primary is paused and
# resumed, the primary stops answering during a platform outage, replication is
# cut, the database of the primary departs, and the primary is killed.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
fleet
ALL="1 2 3"
LONG=',"deadline_ms":9000'

# writer KEY: increments KEY through VM $V, one request at a time and without a
# request id, until end_writers; records each answer
writer() {
	until [ -e "$T/enough" ]; do
		write "increment $1 1" "$LONG"
		echo "$CODE $(cat "$T/body$W")" >>"$T/answers.$V"
	done
}

start_writers() { # key
	rm -f "$T/enough"
	WRITERS=
	for v in v1 v2 v3; do
		: >"$T/answers.$v"
		(V=$v W=.$v; writer "$1") &
		WRITERS="$WRITERS $!"
	done
	eventually 50 done_at_least 20 || echo "# writes do not run"
}

count() { cat "$T"/answers.v? | grep -c "^$1"; }
done_at_least() { [ "$(count 200)" -ge "$1" ]; }
more_done() { done_at_least $((BEFORE + 30)); }

# end_writers NAME: stops the writers after 30 more writes are done; sets DONE,
# UNKNOWN and REFUSED
end_writers() {
	BEFORE=$(count 200)
	ok "$1: writes go on" eventually 100 more_done
	: >"$T/enough"
	for p in $WRITERS; do
		wait "$p"
	done
	DONE=$(count 200) UNKNOWN=$(count 504) REFUSED=$(count 503)
	grep -hv '^200' "$T"/answers.v? | cut -c1-160 | sed 's/^/# /'
}

# kept KEY: true if the value contains every acknowledged increment and nothing
# but these and increments of unknown outcome
kept() {
	got=$(value "$1")
	[ "${got:-0}" -ge "$DONE" ] && [ "${got:-0}" -le $((DONE + UNKNOWN)) ] || {
		echo "# value ${got:-none}, done $DONE, unknown $UNKNOWN"
		return 1
	}
}

# others N: prints the databases except N
others() { echo "$ALL" | sed "s/$1//"; }
is_replica() { db_status "$1" | grep -q '"role": *"replica"'; }
log_term() { db_status "$1" | sed -n 's/.*"log_term": *\([0-9]*\).*/\1/p'; }
rejoined() { is_replica "$1" && [ "$(log_term "$1")" = "$(log_term "$PRIMARY")" ]; }

# checked NAME KEY: checks what must be true after each failover
checked() {
	end_writers "$1"
	ok "$1: held writes are done, none refused" is "$REFUSED" 0
	ok "$1: at most the three writes in flight are unknown" [ "$UNKNOWN" -le 3 ]
	ok "$1: no write lost or run twice" kept "$2"
}

# The process of the primary is stopped and continued.
start_writers a
kill -STOP "$PID_quotes_1"
ok "paused: another is promoted" eventually 70 find_primary 2 3
end=$PRIMARY
BEFORE=$(count 200)
eventually 70 more_done
kill -CONT "$PID_quotes_1"
ok "resumed: it rejoins as a replica" eventually 70 rejoined 1
checked paused a
ok "paused: still one primary" is "$(find_primary $ALL; echo "$PRIMARY")" "$end"

A=$(value a)

# The second primary stops answering while the platform is down.
control platform '{"down":true}'
start_writers b
old=$end
control "quotes_$old" '{"paused":true}'
ok "platform down: a second failover" eventually 70 \
    find_primary $(others "$old")
checked "platform down" b
ok "platform down: the earlier value is kept" holds a "$A"
control "quotes_$old" '{"paused":false}'
control platform '{"down":false}'
find_primary $(others "$old")
ok "platform back: the former primary rejoins" eventually 100 rejoined "$old"
term() {
	curl -s -m 2 "http://$PLATFORM/v1/objects/groups/$SERVICE" |
	    sed -n 's/.*"term": *\([0-9]*\).*/\1/p'
}
published() { [ "$(term)" = "$(log_term "$PRIMARY")" ]; }
ok "platform back: the term is published" eventually 100 published

# Replication to both replicas is cut.
TOKEN=
write "put c 5" "$LONG"
ok "a write before the cut" answered 200
for n in $(others "$PRIMARY"); do
	control "quotes_$n" '{"cut_replication":true}'
done
# True once a write is refused. Writes before that may or may not have run.
write_is_refused() {
	write "put probe 1" ',"deadline_ms":1000'
	[ "$CODE" = 503 ]
}
ok "cut: writes are refused" eventually 50 write_is_refused
write "put c 6" ',"deadline_ms":1000'
ok "cut: not run" answered 503 '"outcome":"not_run"'
ok "cut: the answer has a retry time" grep -qi '^retry-after: [0-9]' "$T/head"
# The write of "probe" is at the primary but not confirmed, so VMs refuse reads
# of the newest state. The primary itself is asked whether "put c 6" has run.
at_primary() {
	eval "d=\$DB_${SERVICE}_$PRIMARY"
	curl -s -m 1 "http://$d/v1/execute" -d "{\"term\":$(log_term \
	    "$PRIMARY"),\"kind\":\"read\",\"statement\":\"get $1\"}"
}
unchanged() { # key value
	at_primary "$1" | grep -q "\"key\":\"$1\",\"value\":$2}"
}
ok "cut: the value is unchanged" unchanged c 5
read_back "get c"
ok "cut: unconfirmed writes are not read" answered 503 '"outcome":"not_run"'
for n in $ALL; do
	control "quotes_$n" '{"cut_replication":false}'
done
again() {
	write "put c 7" "$LONG"
	[ "$CODE" = 200 ]
}
ok "cut ended: a write is done" eventually 100 again
ok "cut ended: it is read at another VM" holds c 7 v2

# The database of the primary is marked departing at the platform.
find_primary $ALL
old=$PRIMARY
depart() {
	url=http://$PLATFORM/v1/objects/groups/$SERVICE
	curl -s -m 5 -D "$T/group.head" "$url" |
	    sed "s/\(\"name\": *\"quotes-$1\"[^}]*\"state\": *\"\)live/\1departing/" \
	    >"$T/group"
	etag=$(sed -n 's/^ETag: \(.*\)\r$/\1/p' "$T/group.head")
	grep -q departing "$T/group" &&
	    curl -sf -m 5 -o /dev/null -X PUT -H "If-Match: $etag" \
	    -d "@$T/group" "$url"
}
start_writers d
ok "departing: the platform accepts it" eventually 10 depart "$old"
handed() { find_primary $(others "$old") && is_replica "$old"; }
ok "departing: handed over" eventually 40 handed
# The stand-in drops further requests and so counts them in "drop_requests".
sleep 2
control "quotes_$old" '{"drop_requests":1000}'
BEFORE=$(count 200)
ok "departing: 30 more are done" eventually 70 more_done
i=0
while [ $i -lt 30 ]; do
	V=v$((i % 3 + 1))
	read_back "get d" ',"max_age_ms":5000'
	[ "$CODE" = 200 ] || echo "# read $CODE $(cat "$T/body")"
	i=$((i + 1))
done
V=v1
drops_left() {
	eval "c=\$CONTROL_quotes_$1"
	curl -s -m 5 "http://$c/control" |
	    sed -n 's/.*"drop_requests": *\([0-9]*\).*/\1/p'
}
ok "departing: no new requests to it after 2 s" is "$(drops_left "$old")" 1000
control "quotes_$old" '{"drop_requests":0}'
end_writers departing
ok "departing: no write refused" is "$REFUSED" 0
ok "departing: no write unknown" is "$UNKNOWN" 0
ok "departing: no write lost or run twice" kept d

# The primary is killed.
find_primary $ALL
old=$PRIMARY
start_writers e
kill -KILL "$(pid_of "quotes_$old")"
ok "killed: another is promoted" eventually 70 find_primary $(others "$old")
checked killed e
ok "killed: earlier writes are kept" holds c 7 v3
finish
