#!/bin/sh
# Guards against a service that stays without a primary for good: the primary is lost
# while all VMs are down, so that those that start have never heard from a replica.
# Three VMs, and nine, on a fake platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

# Kills all VMs, loses the primary and starts them again, in so many rounds. In the
# second round the entry of the primary remains for a while.
rounds() { # prefix count rounds
	start_sessions_platform "$1-platform"
	vms=
	for n in $(seq "$2"); do
		vm_settings "$1$n" "$n" "$PLATFORM" 1500
		start "$1$n" "$G" serve -f "$T/$1$n.json" || exit 1
		vms="$vms $1$n"
	done
	perl tests/process/serves_again.pl serving "$PLATFORM" \
	    "$(vm_address "$1$2" callers)" >"$T/serving" 2>&1
	for round in $(seq "$3"); do
		# shellcheck disable=SC2086
		kill_vms $vms
		fault="mute&n=1"
		[ "$round" = 2 ] || fault=stop
		lost=$(curl -s "http://$PLATFORM/control?do=count" |
		    sed -n 's/^primary //p')
		curl -s -o /dev/null "http://$PLATFORM/control?do=$fault&db=$lost"
		# shellcheck disable=SC2086
		start_again $vms
		if [ "$round" = 2 ]; then
			sleep 3
			curl -s -o /dev/null "http://$PLATFORM/control?do=stop&db=$lost"
		fi
		at=
		for vm in $vms; do
			at="$at $(vm_address "$vm" callers)"
		done
		# shellcheck disable=SC2086
		checks_of "$2 VMs, round $round: " \
		    perl tests/process/serves_again.pl "lost-$2-$round" \
		    "$PLATFORM" $at
		curl -s -o /dev/null "http://$PLATFORM/control?do=mute&n=0&db=$lost"
		curl -s -o /dev/null "http://$PLATFORM/control?do=start&db=$lost"
		sleep 1
	done
}

topology_begin
rounds s 3 2
rounds m 9 1
finish
