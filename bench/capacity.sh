#!/bin/sh
# Generates docs/CAPACITY.md from measurements, docs/capacity.bench.
#
# usage: bench/capacity.sh BUILD            measure and write both files
#        bench/capacity.sh --page FILE      print the page for the lines of FILE
#        bench/capacity.sh --add BUILD FILE measure, add the lines of FILE (the
#                                           output of make bench), write both
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)

page() {
	awk -f "$top/bench/capacity.awk" "$1"
}

if test "$1" = --page
then
	page "$2"
	exit
fi
more=/dev/null
if test "$1" = --add
then
	shift
	more=$2
fi
lines=$top/docs/capacity.bench
{
	for program in rp_bench ds_bench cl_bench rt_bench
	do
		test -x "$1/$program" || continue
		"$1/$program" | grep '^bench '
	done
	grep '^bench ' "$more" || true
} >"$lines.new"
mv "$lines.new" "$lines"
page "$lines" >"$top/docs/CAPACITY.md"
