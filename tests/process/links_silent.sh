#!/bin/sh
# Tests links between VMs that fall silent without a reset while new ones work:
# three VMs on a fake platform, with a relay between all links.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform platform
curl -s -o /dev/null "http://$PLATFORM/control?do=relay_peers&n=1"
curl -s -o /dev/null "http://$PLATFORM/control?do=rate&n=1000000"
start relay perl tests/process/links_relay.pl 3 || exit 1
RELAY=$(echo "$READY" | cut -d' ' -f2)
RELAY_READY=$READY
VMS=
for n in 1 2 3; do
	port=$(echo "$RELAY_READY" | cut -d' ' -f$((n + 2)))
	eval "PEER_s$n=$port"
	vm_settings "s$n" "$n" "$PLATFORM" 1000
	sed "s/\"peer_listen\": \"127.0.0.1:0\"/\"peer_listen\": \"127.0.0.1:$port\"/" \
	    "$T/s$n.json" >"$T/s$n.settings" && mv "$T/s$n.settings" "$T/s$n.json"
done
for n in 1 2 3; do
	start "s$n" "$G" serve -f "$T/s$n.json" || exit 1
done
for n in 1 2 3; do
	ok "s$n gets ready" eventually 200 vm_ready "s$n"
	VMS="$VMS $(vm_address "s$n" callers)"
done
checks_of "" perl tests/process/links_silent.pl "$T" "$PLATFORM" "$RELAY" \
    "$(pid_of s1)" "127.0.0.1:$PEER_s1" $VMS
ok "second links took over" grep -q "link_resumed .*opened_here=1" "$T/s1.out" "$T/s2.out" "$T/s3.out"
ok "statements were found running or done" grep -qE "link_resumed .*(running|done)=[1-9]" "$T/s1.out" "$T/s2.out" "$T/s3.out"
ok "statements were never received" grep -q "link_resumed .*never_received=[1-9]" "$T/s1.out" "$T/s2.out" "$T/s3.out"
ok "no stream was unknown" not grep -q "link_resumed .*peer=s[0-9] .*unknown=[1-9]" "$T/s1.out" "$T/s2.out" "$T/s3.out"
for n in 1 2 3; do
	ok "s$n is alive" kill -0 "$(pid_of "s$n")"
done
finish
