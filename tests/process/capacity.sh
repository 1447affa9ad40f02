#!/bin/sh
# Holds docs/CAPACITY.md to its raw numbers: every slope is worked out again
# from the points kept as JSON, and the page's table from the JSON; figures in
# the text that name a slope and its coming size are those of the table.
set -u
cd "$(dirname "$0")/../.." || exit 1
passed=0 failed=0
T=$(mktemp -d)
trap 'rm -rf "$T"' EXIT

# ok NAME COMMAND...: one check
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

text() { sed -n "s/^  \"$2\": \"\(.*\)\",\$/\1/p" "$1"; }
number() { sed -n "s/^  \"$2\": \([^\"]*\),\$/\1/p" "$1"; }
# The points of a file, one "x y" a line.
points() {
	number "$1" points | tr -d ' []' | tr ',' '\n' | paste -d' ' - -
}
fit() { # JSON: works its slope out again
	points "$1" | scripts/capacity-fit "$(text "$1" name)" \
	    "$(text "$1" x)" "$(text "$1" y)" "$(number "$1" today)" \
	    "$(number "$1" coming)" "$(text "$1" budget)" >"$T/fit"
	cmp -s "$T/fit" "$1"
}
enough() { [ "$(points "$1" | wc -l)" -ge 4 ]; }
table() {
	sed -n '/^<!-- slopes -->$/,/^<!-- end of slopes -->$/p' \
	    docs/CAPACITY.md | grep -v '^<!--' >"$T/page"
	scripts/capacity-table >"$T/table"
	[ -s "$T/page" ] && cmp -s "$T/page" "$T/table"
}
# A cited slope, "`NAME` = FIGURE" in the text: is it the JSON's, as printed?
cited() {
	# shellcheck disable=SC2016
	grep -o '`[a-z]*-[a-z]*` = [0-9.e+-]*[0-9]' docs/CAPACITY.md |
	    tr -d '`' | sort -u >"$T/cited"
	[ -s "$T/cited" ] || return 1
	while read -r name _ figure; do
		is=$(number "docs/capacity/$name.json" slope)
		[ "$is" = "$figure" ] && continue
		echo "# $name is $is, the page says $figure"
		return 1
	done <"$T/cited"
}

for f in docs/capacity/*.json; do
	n=$(basename "$f" .json)
	ok "$n: the name is the file's" [ "$(text "$f" name)" = "$n" ]
	ok "$n: four points or more" enough "$f"
	ok "$n: the fit is that of its points" fit "$f"
	ok "$n: a plot stands beside it" [ -s "docs/capacity/$n.svg" ]
done
ok "the page's table is that of the numbers" table
ok "slopes cited in the text are those of the numbers" cited

# A changed figure is noticed.
f=docs/capacity/vms-cpu.json
sed 's/\(  "slope": \)/\19/' "$f" >"$T/changed.json"
changed() { ! fit "$T/changed.json"; }
ok "a slope that is not that of its points is found" changed

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
