#!/bin/sh
# Eight VMs in front of one group. Only some of them watch the group while it
# is idle; the first write through each VM must still be done.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
fleet
for n in 4 5 6 7 8; do
	start_vm $n || exit 1
done
await_ready_vms 8
KEY=$KEY_t1
# Longer than a VM watches a group after its last use.
sleep 7
for n in 1 2 3 4 5 6 7 8; do
	V=v$n
	write "put idle-v$n 1"
	ok "first write through v$n" answered 200 '"outcome":"done"'
done
finish
