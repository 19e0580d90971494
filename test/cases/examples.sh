#!/bin/sh
# The example deployments are complete and valid: every settings file passes
# --check of its program, and the configuration passes carawayctl check.
#
# usage: test/cases/examples.sh BUILD

. "$(dirname "$0")/../lib.sh"
top=$(cd "$(dirname "$0")/../.." && pwd)
. "$top/bench/mesh.sh"

# check_all FOLDER PROGRAM: PROGRAM accepts all settings files of FOLDER
check_all() {
	local file
	for file in "$mesh/$1"/*.toml
	do
		(cd "$mesh" && "$build/$2" --check --settings "$file") ||
			fail "$file"
	done
}

for name in bucle-andino dinas
do
	mesh_prepare $name
	(cd "$mesh" && "$build/carawayctl" check configuration.toml) ||
		fail "$name/configuration.toml"
	check_all sources caraway-source
	check_all relays caraway-relay
	check_all daemons carawayd
	test "$(names daemons | wc -l)" -ge 14 || fail "too few daemons"
done
