#!/bin/sh
# A daemon is killed, misses thirty versions and starts again: it puts the
# newest version in force, and never an older one.
#
# usage: test/cases/daemon-restart.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

small_mesh
crash $near
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 \
	26 27 28 29 30
do
	write_change $n
	submitted change.toml submit || fail "change $n was not accepted"
done
version=$(version_of "$work/submit.json")
start_daemon $near
poll "version $version everywhere" in_force "$version" $near $far
test "$(applied_version $near)" -ge "$version" ||
	fail "an older version is in force"
served=$(sed -n 's/.* 3001 config-applied .*version=\([0-9]*\).*/\1/p' \
	"$mesh/log/$near.log" | sed -n '$p')
test "$served" = "$version" || fail "version $served was put in force last"
expect_no_regression
