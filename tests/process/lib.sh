# Functions of the process tests, which source this file from the root of the
# tree: checks, polling with a timeout, and a fleet of three VMs in front of the
# group "quotes" of three databases, with the teams t1 and t2.
#
#   ok NAME COMMAND...           runs a check, which passes if the command does
#   eventually TENTHS COMMAND... polls until the command succeeds, for at most
#                                so many tenths of a second
#   fleet                        starts everything; sets KEY_t1 and KEY_t2
#   finish                       prints the counts; fails if a check failed
#
# A failed check that KNOWN-RED.txt lists as "process/SCRIPT: NAME: what was
# seen" is printed as "known red" and counts as neither passed nor failed.

. scripts/topology
passed=0 failed=0
SCRIPT=$(basename "$0" .sh)
SERVICE=quotes
# The VM, key, request id and session token of the next call; the status of the
# last one.
V=v1 KEY= ID= TOKEN= CODE=
# Suffix of the files with the answer, to keep concurrent callers apart.
W=

ok() {
	check=$1
	shift
	if "$@"; then
		echo "ok $check"
		passed=$((passed + 1))
	elif grep -qF -- "process/$SCRIPT: $check:" KNOWN-RED.txt; then
		echo "known red $check"
	else
		echo "not ok $check"
		failed=$((failed + 1))
	fi
}

eventually() {
	left=$1
	shift
	until "$@" >/dev/null; do
		left=$((left - 1))
		[ "$left" -gt 0 ] || {
			"$@"
			return
		}
		sleep 0.1
	done
}

not() { ! "$@"; }
is() { [ "$1" = "$2" ] || { echo "# got \"$1\", wanted \"$2\""; return 1; }; }

# at VM: prints the caller address of a VM; admin_at its admin address
at() { eval "echo \$CALLER_$1"; }
admin_at() { eval "echo \$ADMIN_$1"; }

# call METHOD PATH [BODY]: sends a request to VM $V with $KEY, $ID and $TOKEN;
# sets CODE, $T/body$W and $T/head$W
call() {
	method=$1 path=$2 body=${3:-}
	CODE=$(curl -s -m 15 -o "$T/body$W" -D "$T/head$W" -w '%{http_code}' \
	    -X "$method" -H "Authorization: Bearer $KEY" \
	    ${ID:+-H "Idempotency-Key: $ID"} \
	    ${TOKEN:+-H "Gypsumcleat-Session: $TOKEN"} \
	    ${body:+-d "$body"} "http://$(at "$V")/v1/services/$SERVICE$path")
	[ "$CODE" != 000 ] || : >"$T/body$W"
}

# write STATEMENT [FIELDS], read_back STATEMENT [FIELDS]: execute a statement,
# with FIELDS appended to the JSON body
write() { call POST /statements "{\"statement\":\"$1\",\"kind\":\"write\"${2:-}}"; }
read_back() { call POST /statements "{\"statement\":\"$1\",\"kind\":\"read\"${2:-}}"; }

# answered STATUS [TEXT]: true if the last answer has the status and contains
# the text
answered() {
	[ "$CODE" = "$1" ] && { [ $# -lt 2 ] || grep -qF -- "$2" "$T/body$W"; } || {
		echo "# $CODE $(cat "$T/body$W")"
		return 1
	}
}

# value KEY: prints the value that VM $V reads without a session token, or
# nothing if the key does not exist
value() {
	token=$TOKEN id=$ID TOKEN= ID=
	read_back "get $1"
	TOKEN=$token ID=$id
	[ "$CODE" = 200 ] || {
		echo "status $CODE"
		return 1
	}
	sed -n 's/.*"value": *"\{0,1\}\([^"},]*\).*/\1/p' "$T/body$W"
}

# holds KEY VALUE [VM]: true if the VM reads the value
holds() {
	v=$V V=${3:-$V}
	got=$(value "$1")
	V=$v
	is "$got" "$2"
}

# control WHO BODY: posts settings to the control address of a stand-in; WHO is
# platform or a database such as quotes_1
control() {
	case $1 in
	platform) c=$PLATFORM_CONTROL ;;
	*) eval "c=\$CONTROL_$1" ;;
	esac
	curl -s -m 5 -o /dev/null -d "$2" "http://$c/control"
}

# db_status N: prints the status of a database
db_status() { eval "d=\$DB_${SERVICE}_$1"; curl -s -m 1 "http://$d/v1/status"; }
is_primary() { db_status "$1" | grep -q '"role": *"primary"'; }

# find_primary N...: sets PRIMARY to the number of the database that is primary
find_primary() {
	PRIMARY=
	for n in "$@"; do
		is_primary "$n" && PRIMARY=$n
	done
	[ -n "$PRIMARY" ]
}

pid_of() { eval "echo \$PID_$1"; }

serves() {
	read_back "get nothing"
	[ "$CODE" = 200 ]
}

# fleet [DATABASE OPTIONS]: starts the fleet; RATE and BURST set the limits of
# a team
fleet() {
	topology_begin
	start_platform && start_group "$SERVICE" 5 35 "$@" || exit 1
	for n in 1 2 3; do
		start_vm $n || exit 1
	done
	await_ready_vms 3 || { echo "not ok three VMs are ready"; exit 1; }
	admin defaults put --rate "${RATE:-2000}" --burst "${BURST:-2000}" \
	    --staleness-ms 1000 >"$T/admin" 2>&1
	make_team t1 "$SERVICE"
	make_team t2 "$SERVICE"
	for V in v3 v2 v1; do
		KEY=$KEY_t2
		eventually 60 serves || echo "# t2 is not served by $V"
		KEY=$KEY_t1
		eventually 60 serves || echo "# t1 is not served by $V"
	done
}

# vm_settings NAME NUMBER PLATFORM TIMEOUT_MS [EVACUATE_MS]: writes the settings of
# a VM of the form "sessions"; its failure domain is one of three, by its number
vm_settings() {
	evacuations=
	[ -z "${5:-}" ] || evacuations=", \"evacuate_ms\": $5"
	cat >"$T/$1.json" <<END
{ "form": "sessions", "vm": "$1", "domain": "z-$((($2 - 1) % 3 + 1))",
  "region": "r", "caller_listen": "127.0.0.1:0",
  "ready_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
  "metrics_listen": "127.0.0.1:0", "platform": "$3",
  "promotion": "$PLATFORM", "grace_s": 6, "platform_timeout_ms": $4$evacuations }
END
}

# vm_address NAME WHAT: prints an address of such a VM; WHAT is callers, probes or
# metrics
vm_address() { sed -n "s/^ready \(.*\) $2\$/\1/p" "$T/$1.out"; }
vm_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(vm_address "$1" probes)/")" = 200 ]; }

# kill_vms NAME...: kills VMs at once. start_again NAME... starts them again
kill_vms() {
	for vm in "$@"; do
		kill -9 "$(pid_of "$vm")"
	done
	for vm in "$@"; do
		pid=$(pid_of "$vm")
		wait "$pid" 2>/dev/null
		PIDS=$(echo "$PIDS " | sed "s/ $pid / /")
		cp "$T/$vm.out" "$T/$vm.out.killed"
	done
}
start_again() {
	for vm in "$@"; do
		start "$vm" "$G" serve -f "$T/$vm.json" || exit 1
	done
}

# start_sessions_platform NAME: starts the fake platform of that form; sets PLATFORM
# and SECOND, the address at which it may turn VMs away
start_sessions_platform() {
	start "$1" "$B/sessions-world" || exit 1
	PLATFORM=$(echo "$READY" | cut -d' ' -f2)
	SECOND=$(echo "$READY" | cut -d' ' -f3)
}

# start_session_vms: starts three VMs on that platform; sets AT to the addresses for
# callers
start_session_vms() {
	AT=
	for n in 1 2 3; do
		vm_settings "s$n" "$n" "$PLATFORM" 1500
		start "s$n" "$G" serve -f "$T/s$n.json" || exit 1
		ok "VM $n gets ready" eventually 100 vm_ready "s$n"
		AT="$AT $(vm_address "s$n" callers)"
	done
}

# checks_of PREFIX COMMAND...: runs a script that prints a line "ok NAME" or
# "not ok NAME" for each check, and counts these checks
checks_of() {
	prefix=$1
	shift
	"$@" >"$T/cases" 2>&1
	while read -r line; do
		case $line in
		"not ok "*) ok "$prefix${line#not ok }" false ;;
		"ok "*) ok "$prefix${line#ok }" true ;;
		"#"*) echo "$line" ;;
		esac
	done <"$T/cases"
	ok "${prefix}the cases end" grep -q '^[0-9]* passed, [0-9]* failed$' "$T/cases"
}

finish() {
	echo "$passed passed, $failed failed"
	[ "$failed" -eq 0 ]
}
