#!/bin/sh
# docs/SETTINGS.md has each key of each program with its kind and default, and
# no other.
set -eu
build=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# section TITLE: key, kind and default of the table under a heading
section() {
	awk -v title="## $1" '
		/^## / { here = $0 == title }
		here && /^\| / && !/^\| key / {
			split($0, c, " [|] "); sub(/^[|] /, "", c[1])
			print "| " c[1] " | " c[2] " | " c[3] " |" }' \
		docs/SETTINGS.md
}

for program in caraway-source caraway-relay carawayd carawayctl \
	caraway-core caraway-proxy
do
	test -x "$build/$program" || { echo "no $program"; continue; }
	"$build/$program" --keys | sort >"$dir/code"
	{
		test $program = carawayctl ||
			section "All of caraway-source, caraway-relay, carawayd, caraway-core and caraway-proxy"
		section $program
	} | sort >"$dir/docs"
	diff "$dir/code" "$dir/docs" || { echo "$program differs"; exit 1; }
done
