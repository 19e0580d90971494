#!/bin/sh
# docs/SETTINGS.md lists exactly the keys of each program, with kind and
# default.
set -eu
build=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# section TITLE: print key, kind and default from the table under a heading
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
