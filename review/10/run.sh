#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/stand-in-2/case.sh
start_world quotes-a quotes-b
for n in 1 2 3; do start_vm "v$n" "$n"; done
perl -Ireview/stand-in-2 $CASE/case.pl config "$PLATFORM" "$OUT" || fail_start "no configuration"
wait_ready v1 v2 v3
# shellcheck disable=SC2046
perl -Ireview/stand-in-2 $CASE/case.pl run "$PLATFORM" "$OUT" $(callers v1 v2 v3)
rc=$?
keep_logs
exit $rc
