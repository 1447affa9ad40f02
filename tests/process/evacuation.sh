#!/bin/sh
# Guards against evacuations of failure domains, and their ends, that VMs learn too
# late, forget or believe ended: fleets of 9 and 21 VMs on a fake platform that turns
# VMs away, is away, or is restored from an older copy.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

EVACUATE_MS=5000

# start_fleet PREFIX SIZE THE-ONE [EVACUATE_MS]: starts VMs; the platform may turn
# away all but one of them. Sets VMS for the cases.
start_fleet() {
	fleet=$1 size=$2 the_one=$3 evacuate_ms=${4:-}
	start_sessions_platform "$fleet-platform"
	for n in $(seq "$size"); do
		vm_settings "$fleet$n" "$n" \
		    "$([ "$n" = "$the_one" ] && echo "$PLATFORM" || echo "$SECOND")" \
		    1500 $evacuate_ms
		start "$fleet$n" "$G" serve -f "$T/$fleet$n.json" || exit 1
	done
	VMS=
	for n in $(seq "$size"); do
		ok "$fleet$n gets ready" eventually 200 vm_ready "$fleet$n"
		VMS="$VMS $fleet$n=$(vm_address "$fleet$n" callers)"
	done
}

# run_cases CASE...: runs cases of evacuation.pl on the fleet
run_cases() {
	checks_of "$size VMs, " perl tests/process/evacuation.pl "$*" "$PLATFORM" "$T" $VMS
}

stop_fleet() {
	for n in $(seq "$size"); do
		kill -9 "$(pid_of "$fleet$n")"
	done
}

# restart_vm NAME: kills a VM and starts it again at the address for its peers
restart_vm() {
	sed -i "s/\"peer_listen\": \"[^\"]*\"/\"peer_listen\": \"$(vm_address "$1" peers)\"/" \
	    "$T/$1.json"
	pid=$(pid_of "$1")
	kill -9 "$pid"
	wait "$pid" 2>/dev/null
	PIDS=$(echo "$PIDS " | sed "s/ $pid / /")
	start "$1" "$G" serve -f "$T/$1.json" || exit 1
}

knows_evacuation() { grep -q " evacuation_started .*domain=$2 " "$T/$1.out"; }
platform_has() { curl -s "http://$PLATFORM/control?do=count" | grep -q "^$1\$"; }
tell_platform() { curl -s -o /dev/null "http://$PLATFORM/control?$1"; }

topology_begin

start_fleet p 3 1
run_cases unset
stop_fleet

start_fleet q 9 1 $EVACUATE_MS
run_cases watched deaf silent restored copy_has_it
# Guards against a VM that starts without the store and takes an evacuated domain for
# one in service. No case before uses this domain.
tell_platform "do=evacuate&zone=z-4"
ok "q1 learns of the evacuation" eventually 30 knows_evacuation q1 z-4
tell_platform "do=store_down&n=1"
restart_vm q2
ok "q2, started while the store is away, learns of the evacuation" \
    eventually 30 knows_evacuation q2 z-4
tell_platform "do=store_down&n=0"
ok "q2 gets ready" eventually 200 vm_ready q2
# Guards against a VM that starts with a store that lacks the evacuation.
tell_platform "do=restore&age=100000000&down=100&rewrite=2000"
ok "the store is an older copy" eventually 20 platform_has "away 0"
restart_vm q3
ok "q3, started with an older copy, learns of the evacuation" \
    eventually 20 knows_evacuation q3 z-4
ok "the copy still lacks the evacuation" platform_has "evacuations 0"
ok "q3 gets ready" eventually 200 vm_ready q3
ok "q1 does not believe that the evacuation ended" \
    not grep -q " evacuation_ended .*domain=z-4 " "$T/q1.out"
stop_fleet

# Two VMs of each failure domain read for it here; r4 is none of them at first.
start_fleet r 21 4 $EVACUATE_MS
run_cases watched deaf settled_silent
stop_fleet
finish
