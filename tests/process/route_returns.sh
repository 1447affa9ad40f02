#!/bin/sh
# Guards against a session that does not see its own writes after its route has led to
# other services and back. Three VMs on a fake platform, so that most statements are
# executed by another VM than the caller's.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

topology_begin
start_sessions_platform platform
start_session_vms
# shellcheck disable=SC2086
checks_of "" perl tests/process/route_returns.pl "$PLATFORM" $AT
finish
