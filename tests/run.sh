#!/bin/sh
# Runs the unit tests, then every tests/process/*.sh, LANES at a time, adds up
# their counts and prints the sums as the last line, "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
B=${B:-build}
# Most process tests wait more than they compute: one after the other they take
# more than ten minutes.
LANES=${LANES:-3}
passed=0 failed=0
logs=$B/check.logs
count() { # name log
	line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$2" | tail -1)
	if [ -z "$line" ]; then
		echo "$1: ended without printing its counts"
		failed=$((failed + 1))
		return
	fi
	passed=$((passed + $(echo "$line" | cut -d' ' -f1)))
	failed=$((failed + $(echo "$line" | cut -d' ' -f3)))
}
mkdir -p "$logs"
rm -f "$logs"/*
"$B/check" --gtest_brief=1 >"$logs/unit" 2>&1
grep -vE '^[0-9]+ passed, [0-9]+ failed$' "$logs/unit"
count unit "$logs/unit"
tests=$(ls tests/process/*.sh | grep -v '/lib\.sh$')
export B logs
# shellcheck disable=SC2016
echo "$tests" | xargs -P "$LANES" -n 1 sh -c \
    'timeout 240 sh "$1" >"$logs/$(basename "$1")" 2>&1 </dev/null' sh
for t in $tests; do
	log=$logs/$(basename "$t")
	grep -E '^not ok|^known red|^#' "$log" | sed "s,^,$(basename "$t" .sh): ,"
	count "$t" "$log"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
