#!/bin/sh
# Checks docs/CAPACITY.md against the raw data: recomputes every slope from the
# points in its JSON file and the table of the page from the JSON files, and
# compares the slopes cited in the text with these.
set -u
cd "$(dirname "$0")/../.." || exit 1
passed=0 failed=0
T=$(mktemp -d)
trap 'rm -rf "$T"' EXIT

# ok NAME COMMAND...: runs a check, which passes if the command does
ok() {
	check=$1
	shift
	if "$@"; then
		echo "ok $check"
		passed=$((passed + 1))
	else
		echo "not ok $check"
		failed=$((failed + 1))
	fi
}

# text FILE KEY, number FILE KEY: print the value of a string or a number
text() { sed -n "s/^  \"$2\": \"\(.*\)\",\$/\1/p" "$1"; }
number() { sed -n "s/^  \"$2\": \([^\"]*\),\$/\1/p" "$1"; }
# points FILE: prints the points, one "x y" a line
points() {
	number "$1" points | tr -d ' []' | tr ',' '\n' | paste -d' ' - -
}
# fit FILE: true if the file is what capacity-fit computes from its points
fit() {
	points "$1" | scripts/capacity-fit "$(text "$1" name)" \
	    "$(text "$1" x)" "$(text "$1" y)" "$(number "$1" today)" \
	    "$(number "$1" coming)" "$(text "$1" budget)" >"$T/fit"
	cmp -s "$T/fit" "$1"
}
has_enough_points() { [ "$(points "$1" | wc -l)" -ge 4 ]; }
# True if the table of the page is what capacity-table prints.
table_matches() {
	sed -n '/^<!-- slopes -->$/,/^<!-- end of slopes -->$/p' \
	    docs/CAPACITY.md | grep -v '^<!--' >"$T/page"
	scripts/capacity-table >"$T/table"
	[ -s "$T/page" ] && cmp -s "$T/page" "$T/table"
}
# True if each slope cited in the text as "`NAME` = FIGURE" has the figure of
# its JSON file.
citations_match() {
	# shellcheck disable=SC2016
	grep -o '`[a-z]*-[a-z]*` = [0-9.e+-]*[0-9]' docs/CAPACITY.md |
	    tr -d '`' | sort -u >"$T/cited"
	[ -s "$T/cited" ] || return 1
	while read -r name _ figure; do
		is=$(number "docs/capacity/$name.json" slope)
		[ "$is" = "$figure" ] && continue
		echo "# $name is $is, the page has $figure"
		return 1
	done <"$T/cited"
}

for f in docs/capacity/*.json; do
	n=$(basename "$f" .json)
	ok "$n: the name is that of the file" [ "$(text "$f" name)" = "$n" ]
	ok "$n: has four points or more" has_enough_points "$f"
	ok "$n: the slope is computed from its points" fit "$f"
	ok "$n: has a plot" [ -s "docs/capacity/$n.svg" ]
done
ok "the table of the page matches the JSON files" table_matches
ok "slopes cited in the text match the JSON files" citations_match

# The check itself detects a changed figure.
f=docs/capacity/vms-cpu.json
sed 's/\(  "slope": \)/\19/' "$f" >"$T/changed.json"
changed() { ! fit "$T/changed.json"; }
ok "a slope that does not match its points is detected" changed

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
