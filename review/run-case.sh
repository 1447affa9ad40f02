# Runs the program of a case: sourced by review/N/run.sh. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
n=$(basename "$here")
CASE_PROGRAM=$root/target/gypsumcleat
CASE_TMP=$(mktemp -d) || exit 2
CASE_RECORD=$here/record.txt
export CASE_PROGRAM CASE_TMP CASE_RECORD
export TROUBLE="${TROUBLE:-1}"
rc=2
if [ -x "$CASE_PROGRAM" ] && [ -x "$root/target/review/case-$n" ]; then
	timeout -k 2 118 "$root/target/review/case-$n"
	rc=$?
	[ "$rc" -le 1 ] || rc=2
else
	echo "not built: run the build of the deploy file and review/build.sh" >&2
fi
if [ -n "${KEEP_LOGS:-}" ]; then
	cp -r "$CASE_TMP" "$KEEP_LOGS"
fi
rm -rf "$CASE_TMP"
exit "$rc"
