#!/bin/sh
# Guards against VMs of a large fleet that hear of reads of the configuration too late
# and then refuse callers for now whom they could refuse for good: 24 VMs on a fake
# platform that answers all of them, over a calm stretch.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

VMS=24
CALM_S=12

# Prints how many lines of this event the VMs have logged.
logged() { cat "$T"/g[0-9]*.out | grep -c " $1 "; }
# Prints the sum of a counter over all VMs.
counted() {
	for n in $(seq "$VMS"); do
		curl -s "http://$(vm_address "g$n" metrics)/metrics"
	done | sed -n "s/^gypsumcleat_$1 //p" | awk '{ s += $1 } END { print s + 0 }'
}

# True if the VMs have refused so many datagrams.
refused() { is "$(counted peer_messages_bad_total)" "$1"; }

topology_begin
start_sessions_platform g-platform
for n in $(seq "$VMS"); do
	vm_settings "g$n" "$n" "$PLATFORM" 1000
	start "g$n" "$G" serve -f "$T/g$n.json" || exit 1
done
for n in $(seq "$VMS"); do
	ok "g$n gets ready" eventually 200 vm_ready "g$n"
done
ok "the logs are read" [ "$(logged 6001)" -ge "$VMS" ]
late=$(logged 6009)
sent=$(counted peer_messages_sent_total)
bytes=$(counted peer_sent_bytes_total)
calls=$(counted platform_calls_total)
sleep "$CALM_S"
sent=$((($(counted peer_messages_sent_total) - sent) / VMS / CALM_S))
bytes=$((($(counted peer_sent_bytes_total) - bytes) / VMS / CALM_S))
calls=$((($(counted platform_calls_total) - calls) / CALM_S))
echo "# a VM sends $sent datagrams and $bytes bytes a second; $calls calls a second in all"
ok "no VM finds its configuration unconfirmed" is "$(logged 6009)" "$late"
ok "every datagram is understood" refused 0
# Guards against a malformed datagram with a read that ends a VM: too few fields, a
# field of another type, and numbers out of range.
perl -MIO::Socket::INET -e '
	my $s = IO::Socket::INET->new(PeerAddr => shift, Proto => "udp");
	$s->send(pack("H*", $_)) for @ARGV;
' "$(vm_address g1 peers)" 930a0101 970a0101010101 970aa17801010101 970acf0000000200000000010101010101
ok "malformed reads are refused" eventually 20 refused 4
ok "their VM serves on" vm_ready g1
finish
