#!/bin/sh
# Invalid input of callers to a VM with stand-ins, over real sockets: the VM
# answers with a clear error, bounds its memory and still serves other callers.
set -u
cd "$(dirname "$0")/../.." || exit 1
. scripts/topology
passed=0 failed=0
SERVICE=quotes

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

# send BODY [CURL OPTIONS]: posts a statement; sets CODE, $T/body, $T/head
send() {
	body=$1
	shift
	CODE=$(curl -s -m 10 -o "$T/body" -D "$T/head" -w '%{http_code}' \
	    -H "Authorization: Bearer $KEY" --data-binary "$body" "$@" "$URL")
}

good() {
	send '{"statement":"get ?","parameters":["k"],"kind":"read"}'
	[ "$CODE" = 200 ] || {
		echo "# $CODE $(cat "$T/body")"
		return 1
	}
}

# refused STATUS CODE STEP: true if the last answer is a refusal with these
# values and the outcome "not_run"
refused() {
	want="\"outcome\":\"not_run\",\"error\":{\"code\":\"$2\",\"step\":\"$3\""
	[ "$CODE" = "$1" ] && grep -qF "$want" "$T/body" &&
	    grep -q '"peer":"' "$T/body" && grep -q '"message":"..' "$T/body" ||
	    {
		    echo "# $CODE $(cat "$T/body")"
		    return 1
	    }
}

# is TEXT PATTERN: true if the text matches the shell pattern
is() {
	case $1 in
	$2) ;;
	*)
		echo "# got $1"
		return 1
		;;
	esac
}

# raw FILE SECONDS: sends the file unchanged; stores the answer in $T/raw
raw() { curl -s -m "$2" "telnet://$CALLER_v1" <"$1" >"$T/raw" 2>/dev/null; }
answers() { [ "$(grep -ao "HTTP/1.1 $1" "$T/raw" | wc -l)" -eq "$2" ]; }
rss_kb() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$PID_v1/status"; }
files() { find "/proc/$PID_v1/fd" 2>/dev/null | wc -l; }

# request BODY [HEADER...]: prints a complete HTTP request
request() {
	body=$1
	shift
	printf 'POST /v1/services/%s/statements HTTP/1.1\r\nHost: h\r\n' \
	    "$SERVICE"
	printf 'Authorization: Bearer %s\r\n' "$KEY"
	for h in "$@"; do
		printf '%s\r\n' "$h"
	done
	printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body"
}

# repeat N CHARACTER: prints the character N times
repeat() { head -c "$1" /dev/zero | tr '\0' "$2"; }

topology_begin
start_platform && start_group "$SERVICE" 5 35 || exit 1
SETTINGS='"caller_idle_ms": 1500, "body_max_bytes": 65536,'
start_vm 1 || exit 1
URL=http://$CALLER_v1/v1/services/$SERVICE/statements
"$G" admin -a "$ADMIN_v1" defaults put --rate=5000 --burst=5000 \
    --staleness-ms=1000 >"$T/admin" 2>&1
"$G" admin -a "$ADMIN_v1" team put t1 "$SERVICE" >>"$T/admin" 2>&1
KEY=$("$G" admin -a "$ADMIN_v1" --json key issue t1 2>>"$T/admin" |
    sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
ok "a key is issued" [ -n "$KEY" ]
ok "a good request is served" eventually good

send '{"statement":'
ok "broken JSON" refused 400 bad_request parse
send '[]'
ok "JSON that is not an object" refused 400 bad_request parse
send ''
ok "no body" refused 400 bad_request parse
send '{"statement":"get ?","statement":"get ?"}'
ok "a duplicate key" refused 400 bad_request parse
send '{"statement":7}'
ok "wrong type" refused 422 unprocessable parse
send '{"statement":"get ?","sql":1}'
ok "unknown field" refused 422 unprocessable parse
send '{"statement":"get ?","deadline_ms":99999999}'
ok "deadline out of bounds" refused 422 unprocessable parse
send '{"statement":"get ?","kind":"read","max_age_ms":-1}'
ok "negative age" refused 422 unprocessable parse
send "{\"statement\":\"x\",\"parameters\":$(repeat 1000 '[')$(repeat 1000 ']')}"
ok "deep nesting" refused 400 bad_request parse
send "{\"statement\":\"x\",\"parameters\":$(repeat 20000 '[')"
ok "very deep nesting" refused 400 bad_request parse
repeat 70000 x >"$T/big"
send "@$T/big"
ok "a body too large" refused 413 too_large parse
send "@$T/big" -H 'Transfer-Encoding: chunked'
ok "a chunked body too large" refused 413 too_large parse
repeat 33554432 x >"$T/huge"
send "@$T/huge" -H 'Transfer-Encoding: chunked' -H 'Expect:'
ok "a body of 32 MB is not accepted" [ "$CODE" != 200 ]
send '{}' -H "X-Large: $(repeat 9000 h)"
ok "a head too large" refused 413 too_large parse
send '{}' -H "X-Large: $(repeat 60000 h)"
ok "a head far too large" [ "$CODE" = 431 ]
send '{}' -H "Idempotency-Key: $(repeat 200 i)"
ok "a request id too long" refused 400 bad_request parse
send '{}' -H "Gypsumcleat-Session: $(repeat 2000 s)"
ok "a session token too long" refused 400 bad_session_token parse
send '{}' -H 'Gypsumcleat-Session: forged'
ok "a body without a statement, with a token" refused 422 unprocessable parse
B1='{"statement":"get ?","parameters":["k"],"kind":"read"}'
send "$B1" -H 'Gypsumcleat-Session: forged'
ok "a malformed token" refused 400 bad_session_token parse
good
token=$(sed -n 's/^[Gg]ypsumcleat-[Ss]ession: \([^\r]*\)\r*$/\1/p' "$T/head" |
    tr -d '\r')
ok "an answer carries a token" [ -n "$token" ]
case $token in
A*) changed=B${token#?} ;;
*) changed=A${token#?} ;;
esac
send "$B1" -H "Gypsumcleat-Session: $changed"
ok "a forged token counts as none" is "$CODE $(cat "$T/body")" "200 *"
ok "a forged token: the primary serves" grep -q '"served_by":"primary"' "$T/body"
KEY2=$KEY KEY=wrong
send '{}'
ok "a wrong key" refused 401 key_unknown key
KEY=$KEY2
URL2=$URL URL=http://$CALLER_v1/v1/services/nowhere/statements
send '{"statement":"get ?"}'
ok "a service that is not the team's" refused 403 forbidden key
URL=http://$CALLER_v1/v1/nowhere
send '{}'
ok "a path that does not exist" refused 404 not_found parse
URL=$URL2
send '{}' -X PUT
ok "a method that is not allowed" refused 405 method_not_allowed parse
ok "the answer names the allowed method" grep -qi '^allow: post' "$T/head"

for h in "Authorization: Bearer $KEY" "Content-Length: 3" \
    "Transfer-Encoding: chunked"; do
	request "$B1" "$h" >"$T/request"
	raw "$T/request" 5
	ok "duplicate or conflicting ${h%%:*}" answers 400 1
done
request "$B1" 'Idempotency-Key: a' 'Idempotency-Key: a' >"$T/request"
raw "$T/request" 5
ok "duplicate Idempotency-Key" answers 400 1

i=0
: >"$T/request"
while [ $i -lt 20 ]; do
	request "$B1" >>"$T/request"
	request '{' >>"$T/request"
	i=$((i + 1))
done
raw "$T/request" 3
ok "20 valid pipelined requests are answered" answers 200 20
ok "20 invalid requests between them are answered" answers 400 20

# 60 slow senders, then 60 callers that disconnect before their answers; other
# callers are still served.
before=$(files)
request "$B1" >"$T/whole"
head -c 40 "$T/whole" >"$T/part"
senders=
i=0
while [ $i -lt 60 ]; do
	{ cat "$T/part"; sleep 4; } |
	    curl -s -m 6 "telnet://$CALLER_v1" >/dev/null 2>&1 &
	senders="$senders $!"
	i=$((i + 1))
done
ok "others are served while 60 send slowly" good
for p in $senders; do
	wait "$p"
done
ok "connections of slow senders are closed" eventually sh -c \
    "[ \$(find /proc/$PID_v1/fd | wc -l) -le $((before + 5)) ]"

curl -s -m 10 "http://$(eval echo "\$CONTROL_${SERVICE}_1")/control" \
    -d '{"latency_us":300000}' >/dev/null
i=0
while [ $i -lt 60 ]; do
	curl -s -m 0.1 -o /dev/null -H "Authorization: Bearer $KEY" \
	    -d '{"statement":"get ?","parameters":["k"]}' "$URL" &
	senders="$senders $!"
	i=$((i + 1))
done
for p in $senders; do
	wait "$p" 2>/dev/null
done
curl -s -m 10 "http://$(eval echo "\$CONTROL_${SERVICE}_1")/control" \
    -d '{"latency_us":0}' >/dev/null
ok "others are served after 60 disconnected before their answers" eventually good

# A fixed sequence of truncated requests followed by bytes that are not text,
# then requests with too large bodies.
rss=$(rss_kb)
i=0
while [ $i -lt 150 ]; do
	head -c $((i % 90 + 1)) "$T/whole" >"$T/request"
	printf '\r\n%s\000\377' "$i" >>"$T/request"
	raw "$T/request" 0.05
	i=$((i + 1))
done
i=0
while [ $i -lt 50 ]; do
	send "@$T/big"
	i=$((i + 1))
done
grown=$(($(rss_kb) - rss))
ok "memory is bounded (grew by less than 32768 KB)" [ "$grown" -lt 32768 ]
ok "the VM still serves" good
ok "the VM is still the same process" kill -0 "$PID_v1"
ok "no key in the log" sh -c "! grep -q '$KEY' '$T/v1.log'"

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
