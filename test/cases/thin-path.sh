#!/bin/sh
# The whole path: a submission is accepted, distributed to daemons in two
# regions and put in force; calls that enter at either daemon are answered by
# the right service; the history and the report contain the version.
#
# usage: test/cases/thin-path.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

reported() {
	ctl --json report >"$work/report.json"
	grep -q "\"version\": *$first\b" "$work/report.json"
}

small_mesh
await_keys
for name in $near $far
do
	call $name $name --call GET,/floor-plans,1 --call GET,/bookings,1 \
		--call POST,/bookings,2 --rate 200 --count 200
	expect_field $name answered 200
	expect_harmless $name
done
ctl history | grep -q "configuration.toml" || fail "not in the history"
poll "version $first in the report" reported
