#!/bin/sh
# Generates docs/CAPACITY.md from measurements: docs/capacity.bench, and
# docs/capacity.sweep and docs/capacity.teams.sweep, the output of sweeps on the
# users' platform.
#
# usage: bench/capacity.sh BUILD            measure and write both files
#        bench/capacity.sh --page FILE      print the page for the lines of FILE
#        bench/capacity.sh --add BUILD FILE measure, add the lines of FILE (the
#                                           output of make bench), write both
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)

page() {
	awk -f "$top/bench/capacity.awk" "$1"
	sweep=${1%.bench}.sweep
	test -f "$sweep" || return 0
	cat <<EOF

## On the users' platform

One day at 30, 100 and 300 instances, as the sweep of the platform's bench
prints it; the last column of its slopes is where they lead.

EOF
	sed 's/^/    /; s/ *$//' "$sweep"
	cat <<EOF

Sessions of a core instance grow with the daemons of its data centre, which the
roster spreads over its relays, and with the core instances, as each holds one
to every other. Bytes grow with what changes: a change goes to a relay once and
from it to its daemons. Neither the time until all serve again after all were
killed nor that until the next change is acknowledged after the loss of a
leader is within a second; the first grows with the instances.
EOF
	teams=${1%.bench}.teams.sweep
	test -f "$teams" || return 0
	cat <<EOF

The same with 81 teams, their quotas, and links of 2.4 Mbit/s:

EOF
	sed 's/^/    /; s/ *$//' "$teams"
	cat <<EOF

Each daemon asks its relay for tokens of quotas, so the bytes of a core instance
grow with its daemons.  This deployment names no size to carry that on to.
EOF
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
