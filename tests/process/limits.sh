#!/bin/sh
# Limits of a team over three VMs: rate and burst, another team at the same
# time, and exceptions.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
RATE=40 BURST=60
fleet

# ask VM CALLERS COUNT: starts callers that each send COUNT reads to a VM on one
# connection and record the statuses
ask() {
	n=0
	while [ $n -lt "$2" ]; do
		curl -s -m 20 -o /dev/null -w '%{http_code}\n' \
		    -H "Authorization: Bearer $KEY" \
		    -d '{"statement":"get a","kind":"read"}' \
		    "http://$(at "$1")/v1/services/$SERVICE/statements?[1-$3]" \
		    >"$T/asked.$1.$n" &
		ASKERS="$ASKERS $!"
		n=$((n + 1))
	done
}
end_ask() {
	for p in $ASKERS; do
		wait "$p"
	done
}
count() { cat "$T"/asked.* | grep -c "^$1"; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }

# flood CALLERS COUNT: runs callers at all VMs at once; sets TOOK in
# milliseconds, DONE and OVER (requests over the rate)
flood() {
	rm -f "$T"/asked.*
	ASKERS=
	began=$(now_ms)
	for v in v1 v2 v3; do
		ask $v "$1" "$2"
	done
	end_ask
	TOOK=$(($(now_ms) - began))
	DONE=$(count 200) OVER=$(count 429)
	echo "# $((3 * $1 * $2)) requests in $TOOK ms: $DONE done, $OVER over rate"
}

# within RATE BURST: true if no more was done than the limit allows in $TOOK
within() {
	[ "$DONE" -le $(($2 + $1 * TOOK / 1000 + 1)) ] || {
		echo "# $DONE done in $TOOK ms"
		return 1
	}
}

flood 2 100
ok "a flood over three VMs: within rate and burst" within 40 60
ok "each request is answered" is "$((DONE + OVER))" 600
ok "at least 20 requests were done" [ "$DONE" -ge 20 ]
refused() {
	read_back "get a"
	[ "$CODE" = 429 ]
}
rm -f "$T"/asked.*
ASKERS=
for v in v1 v2 v3; do
	ask $v 2 150
done
V=v2
ok "over the rate: 429" eventually 40 refused
ok "over the rate: not run" answered 429 '"outcome":"not_run"'
ok "over the rate: the code is over_rate" answered 429 '"code":"over_rate"'
ok "over the rate: the answer has a retry time" \
    grep -qi '^retry-after: [0-9]' "$T/head"
end_ask
flood 2 150
ok "a second flood, with the burst used up: within rate and burst" within 40 60

# Another team sends at the same time.
rm -f "$T"/asked.*
ASKERS=
for v in v1 v2 v3; do
	ask $v 2 400
done
KEY=$KEY_t2 bad=0 i=0
while [ $i -lt 30 ]; do
	V=v$((i % 3 + 1))
	read_back "get a"
	[ "$CODE" = 200 ] || bad=$((bad + 1))
	i=$((i + 1))
done
end_ask
ok "the flood ran meanwhile" [ "$(count 429)" -ge 100 ]
ok "another team's 30 requests are all served" is "$bad" 0

# An exception.
KEY=$KEY_t1 V=v1
out=$(admin exception put e1 t1 --rate 400 --burst 500 2>&1)
ok "an exception without a reason: refused" is $? 1
ok "the refusal names the missing reason" sh -c "echo '$out' | grep -q reason"
flood 1 100
ok "the refused exception changed nothing" within 40 60
admin exception put e1 t1 --rate 400 --burst 500 \
    --reason "hour-end surge" >"$T/admin" 2>&1
ok "an exception with a reason: accepted" is $? 0
for V in v1 v2 v3; do
	served() {
		ask_here=0
		while [ $ask_here -lt 40 ]; do
			read_back "get a"
			[ "$CODE" = 200 ] || return 1
			ask_here=$((ask_here + 1))
		done
	}
	ok "$V serves 40 in a row within 4 s" eventually 40 served
done
V=v1
flood 4 150
ok "a flood: within the raised limit" within 400 500
ok "a flood: above the default limit" [ "$DONE" -gt $((60 + 40 * TOOK / 1000)) ]

admin exception delete e1 >"$T/admin" 2>&1
ok "an exception is deleted" is $? 0
lowered() {
	for V in v1 v2 v3; do
		curl -s -m 5 -H "Authorization: Bearer $OPERATOR_KEY" \
		    "http://$(admin_at "$V")/admin/v1/exceptions" |
		    grep -q hour-end && return 1
	done
	V=v1
}
ok "all VMs know the deletion within 4 s" eventually 40 lowered
flood 2 150
ok "a flood: within the default limit" within 40 60
finish
