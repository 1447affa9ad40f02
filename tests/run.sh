#!/bin/sh
# Runs the unit tests and every tests/process/*.sh, adds up their counts and
# prints the sums as the last line, "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
B=${B:-build}
passed=0 failed=0
log=$B/check.log
count() {
	line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$log" | tail -1)
	if [ -z "$line" ]; then
		echo "$1: ended without printing its counts"
		failed=$((failed + 1))
		return
	fi
	passed=$((passed + $(echo "$line" | cut -d' ' -f1)))
	failed=$((failed + $(echo "$line" | cut -d' ' -f3)))
}
"$B/check" --gtest_brief=1 >"$log" 2>&1
grep -vE '^[0-9]+ passed, [0-9]+ failed$' "$log"
count unit
for t in tests/process/*.sh; do
	[ -e "$t" ] || continue
	[ "$t" != tests/process/lib.sh ] || continue
	timeout 240 sh "$t" >"$log" 2>&1
	grep -E '^not ok|^known red|^#' "$log"
	count "$t"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
