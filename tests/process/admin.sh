#!/bin/sh
# Administration through three VMs in three failure domains, with the stand-in
# platform: accepted changes, conflicts, lost replies, a platform outage, a VM
# that starts during it, and a change that no other VM can confirm.
set -u
cd "$(dirname "$0")/../.." || exit 1
bin=$PWD/${B:-build}/gypsumcleat
dir=$(mktemp -d)
passed=0 failed=0
pids="" pid_b="" pid_c="" pid_d=""
export GYPSUMCLEAT_OPERATOR_KEY=operators-key
# BLAKE2b-256 of the key above.
hash=$(printf %s "$GYPSUMCLEAT_OPERATOR_KEY" | b2sum -l 256 | cut -d' ' -f1)

cleanup() {
	for p in $pids; do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT

# ok NAME COMMAND...: runs a check, which passes if the command does
ok() {
	name=$1
	shift
	if "$@"; then
		echo "ok $name"
		passed=$((passed + 1))
	else
		echo "not ok $name"
		failed=$((failed + 1))
	fi
}

# eventually TENTHS COMMAND...: polls until the command succeeds
eventually() {
	n=$1
	shift
	while [ "$n" -gt 0 ]; do
		"$@" && return 0
		sleep 0.1
		n=$((n - 1))
	done
	return 1
}

not() { ! "$@"; }

is() {
	[ "$1" = "$2" ] || { echo "# got \"$1\", wanted \"$2\""; return 1; }
}

# says TEXT PATTERN: true if the text matches
says() { printf '%s\n' "$1" | grep -Eq -- "$2"; }

# start_vm NAME DOMAIN [PEERS]: starts a VM; sets pid_DOMAIN
start_vm() {
	cat >"$dir/$1.json" <<EOF
{"vm":"$1","domain":"$2","region":"r","caller_listen":"127.0.0.1:0",
"admin_listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0",
"platform":"$platform","operator_key_hash":"$hash","peer_secret":"$hash",
"platform_timeout_ms":500,"peers":[${3:-}],"drain_notice_ms":0}
EOF
	"$bin" serve -f "$dir/$1.json" >"$dir/$1.out" 2>"$dir/$1.log" &
	eval "pid_$2=$!"
	pids="$pids $!"
	eventually 100 grep -q '^ready .* peers' "$dir/$1.out" || {
		echo "# $1 did not start"
		cat "$dir/$1.log"
	}
}

at() { awk -v w="$2" '$3 == w { print $2 }' "$dir/$1.out"; }
admin() {
	vm=$1
	shift
	"$bin" admin -a "$(at "$vm" admin)" "$@" 2>&1
}
get() {
	curl -s -m 10 -H "Authorization: Bearer $GYPSUMCLEAT_OPERATOR_KEY" \
	    "http://$(at "$1" admin)/admin/v1/$2"
}
control() { curl -s -m 10 -d "$1" "http://$control/control" >/dev/null; }
live() { admin "$1" status | awk '$3 == "live"' | wc -l; }
sees() { [ "$(live "$1")" -eq "$2" ]; }
knows() { get "$1" teams | grep -q "$2"; }
lacks() { ! knows "$1" "$2"; }
version() { admin vm-1 --json "$1" "$2" | sed -n 's/.*"version": \([0-9]*\).*/\1/p'; }

"$bin" standin platform -l 127.0.0.1:0 -c 127.0.0.1:0 >"$dir/platform" &
pids="$pids $!"
eventually 100 grep -q ready "$dir/platform"
platform=$(awk '{ print $2 }' "$dir/platform")
control=$(awk '{ print $3 }' "$dir/platform")
start_vm vm-1 a
start_vm vm-2 b
start_vm vm-3 c
for v in vm-1 vm-2 vm-3; do
	ok "$v knows three live VMs" eventually 80 sees "$v" 3
done

# Acceptance.
out=$(admin vm-1 team put quotes svc-a svc-b)
ok "a team is accepted" is "$?" 0
ok "the team is known by a VM of another domain" \
    says "$out" '^accepted [0-9a-f]+: version 1, known by vm-[23]'
for v in vm-2 vm-3; do
	ok "$v knows the team within 4 s" eventually 40 knows $v quotes
done
key=$(admin vm-1 key issue quotes k1)
ok "a key is issued" is "$?" 0
secret=$(echo "$key" | awk '$1 == "secret" { print $2 }')
ok "the secret of the key is shown" [ ${#secret} -ge 40 ]
objects() { curl -s "http://$platform/v1/objects?prefix="; }
ok "the platform holds the key's id" sh -c "curl -s 'http://$platform/v1/objects?prefix=' | grep -q k1"
holds() { objects | grep -q -- "$1"; }
ok "the platform does not hold the key's secret" not holds "$secret"
ok "no log holds the key's secret" not grep -q -- "$secret" "$dir"/vm-1.log \
    "$dir"/vm-2.log "$dir"/vm-3.log
shows_hash() { get vm-1 teams/quotes | grep -q hash; }
ok "the API shows the key's id" sh -c "'$bin' admin -a $(at vm-1 admin) key list quotes | grep -q k1"
ok "the API never shows a hash" not shows_hash
admin vm-2 defaults put --rate 100 --burst 200 --staleness-ms 1000 >/dev/null
ok "defaults are accepted" is "$?" 0
admin vm-2 exception put e1 quotes --rate 500 --reason "hour-end surge" >/dev/null
ok "an exception is accepted" is "$?" 0
out=$(admin vm-2 exception put e2 quotes --rate 500)
ok "an exception without a reason is refused" is "$?" 1
ok "the refusal names the missing reason" says "$out" reason
admin vm-3 key withdraw quotes k1 >/dev/null
ok "a key is withdrawn" is "$?" 0
withdrawn() { get "$1" teams | grep -q '"k1":{"state":"withdrawn"}'; }
ok "the other VMs know it within 4 s" eventually 40 withdrawn vm-1

# Authorization of operators.
out=$(GYPSUMCLEAT_OPERATOR_KEY=wrong admin vm-1 team list)
ok "a wrong key is refused" is "$?" 1
ok "the refusal has the code key_unknown" says "$out" key_unknown
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
    "http://$(at vm-1 admin)/admin/v1/status")
ok "a request without a key is refused" is "$status" 401
status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X PUT -d '{}' \
    -H "Authorization: Bearer $GYPSUMCLEAT_OPERATOR_KEY" \
    "http://$(at vm-1 admin)/admin/v1/teams/quotes")
ok "a change without a version is refused" is "$status" 428

# Concurrent changes.
v=$(version defaults get)
admin vm-1 defaults put --rate 111 --if-version "$v" >"$dir/one" &
one=$!
admin vm-3 defaults put --rate 222 --if-version "$v" >"$dir/two" &
two=$!
wait $one
r1=$?
wait $two
r2=$?
ok "one of two concurrent changes is accepted" is "$((r1 + r2))" 1
ok "the answer to the other names both versions" sh -c \
    "cat '$dir/one' '$dir/two' | grep -q 'version_conflict: version $v expected, $((v + 1)) found'"
out=$(admin vm-1 --change again-1 defaults put --rate 120)
ok "a change with an id chosen by the operator is accepted" is "$?" 0
v=$(version defaults get)
admin vm-2 --change again-1 defaults put --rate 120 >/dev/null
ok "the same change through another VM counts as accepted" is "$?" 0
ok "the repeated change took effect once" is "$(version defaults get)" "$v"

# Lost replies of the platform: the reported outcome must be the real one,
# however many replies are lost.
for i in 1 2 3 4 5 6; do
	before=$(version defaults get)
	control "{\"lose_replies\":$i}"
	admin vm-1 --if-version "$before" defaults put --rate $((300 + i)) >"$dir/lost"
	rc=$?
	control '{"lose_replies":0}'
	after=$(version defaults get)
	case $rc in
	0) want=$((before + 1)) ;;
	1) want=$before ;;
	*) want=$after ;;
	esac
	ok "lost replies $i: exit status $rc is the real outcome" is "$after" "$want"
done

# Platform outage.
control '{"down":true}'
out=$(admin vm-1 team put late svc-a --if-version 0)
rc=$?
ok "during an outage a change is refused or unknown" [ "$rc" -eq 1 -o "$rc" -eq 3 ]
ok "during an outage the VM answers reads" sh -c \
    "'$bin' admin -a $(at vm-1 admin) --json defaults get | grep -q '\"from\": \"vm\"'"
start_vm vm-4 d "\"$(at vm-2 peers)\""
ok "a VM that starts during an outage gets objects from its peers" \
    eventually 60 knows vm-4 quotes
ok "it knows the keys withdrawn before" withdrawn vm-4
control '{"down":false}'
ok "changes are accepted after the outage" eventually 80 \
    sh -c "'$bin' admin -a $(at vm-1 admin) team put later svc-a >/dev/null 2>&1"
ok "they reach the VM that started during it" eventually 60 knows vm-4 later
ok "a refused change does not take effect later" lacks vm-4 '"late"'

# A planned stop, then a change while no other VM runs.
kill -TERM "$pid_d"
wait "$pid_d"
ok "exit 0 after SIGTERM" is "$?" 0
kill -9 "$pid_b" "$pid_c"
out=$(admin vm-1 team put alone svc-a)
ok "exit 4 for a change that was written but not spread" is "$?" 4
ok "the message names what is missing" says "$out" \
    'no VM of another failure domain knows it yet'
ok "every change is logged as an audit event" sh -c \
    "[ \$(grep -c ' audit .*what=.*change=' '$dir/vm-1.log') -ge 8 ]"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
