#!/bin/sh
# Guards against a failover that drops acknowledged writes where a write is
# acknowledged once one replica has received it: the database that has them departs,
# falls silent, lapses from the registry or fails in its turn. Three VMs on a fake
# platform.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform platform
start_session_vms
# shellcheck disable=SC2086
checks_of "" perl tests/process/sync_replicas.pl "$PLATFORM" $AT
finish
