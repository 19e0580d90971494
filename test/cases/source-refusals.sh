#!/bin/sh
# Settings and data folders with which a source refuses to start, its exit
# status and its output.
set -u
. "$(dirname "$0")/../lib.sh"

at=$net.25:7110

# settings NAMES FOLDER: write the settings of source s1
settings() {
	cat >"$work/s1.toml" <<EOF
[mesh]
name = "m"
key_file = "$work/mesh.key"
[instance]
name = "s1"
data_centre = "d"
region = "r"
[source]
address = "$at"
data_folder = "$work/$2"
operators_folder = "$work/operators"
[replicas]
names = $1
addresses = ["$at"]
EOF
}

# refused STATUS WORDS...: the source ends with STATUS and prints all WORDS
refused() {
	local status=0 want=$1 words
	shift
	timeout 5 "$build/caraway-source" --settings "$work/s1.toml" \
		>"$work/out" 2>&1 || status=$?
	test "$status" = "$want" || fail "exit status $status: $(cat "$work/out")"
	for words
	do
		grep -qF -e "$words" "$work/out" ||
			fail "lacks \"$words\": $(cat "$work/out")"
	done
}

printf '%064d\n' 7 >"$work/mesh.key"
mkdir "$work/operators"

settings '["s2", "s2"]' data
refused 2 "replicas.addresses" "one for each name" '"s2" once' \
	'"s1", among them'

settings '["s1"]' data
echo short >"$work/operators/ana.key"
refused 2 "$work/operators" "104"
rm "$work/operators/ana.key"

start s1 "$build/caraway-source" --settings "$work/s1.toml"
wait_port "$at"
refused 5 "$work/data" "110"
stop s1 || fail "exit status $? after a graceful stop"

printf x | dd of="$work/data/log" bs=1 seek=20 conv=notrunc 2>"$work/dd.err"
refused 1 "$work/data" "404" "OPERATIONS.md"
ls "$work"/data/log.damaged-* >"$work/out" || fail "the log was not set aside"

settings '["s1"]' "mesh.key/data"
refused 5 "110"
