#!/bin/sh
# Three sources: accepted submissions survive the crash of the leader, the loss
# of its disk and the crash of the next leader right after the repair.  A single
# remaining replica accepts nothing.
set -u
. "$(dirname "$0")/../lib.sh"

port=7100

# settings N: write the settings of source sN
settings() {
	cat >"$work/s$1.toml" <<EOF
[mesh]
name = "m"
key_file = "$work/mesh.key"
[instance]
name = "s$1"
data_centre = "d$1"
region = "r"
[log]
file = "$work/s$1.log"
[source]
address = "$net.2$1:$port"
data_folder = "$work/data$1"
operators_folder = "$work/operators"
[replicas]
names = ["s1", "s2", "s3"]
addresses = ["$net.21:$port", "$net.22:$port", "$net.23:$port"]
EOF
}

source_up() {
	start "s$1" "$build/caraway-source" --settings "$work/s$1.toml"
	wait_port "$net.2$1:$port"
}

ctl() {
	"$build/carawayctl" --settings "$work/ctl.toml" "$@"
}

# configuration N: write a configuration with N services
configuration() {
	n=0
	while test $n -lt "$1"
	do
		n=$((n + 1))
		printf '[[services]]\nname = "service-%d"\n' $n
		printf '[[routes]]\nname = "r%d"\npath = "/p%d"\n' $n $n
		printf 'service = "service-%d"\n' $n
	done >"$work/c$1.toml"
}

status() {
	ctl --json status >"$work/status.json"
}

leader() {
	status && sed -n 's/.*"leader": *"\([^"]*\)".*/\1/p' "$work/status.json"
}

# repaired NAME: whether the log of the leader NAME has the membership changes
# that take a replica's vote away and give it back
repaired() {
	test "$(grep -c ' 4010 ' "$work/$1.log")" -ge 3
}

has_leader() {
	test -n "$(leader)"
}

printf '%064d\n' 7 >"$work/mesh.key"
mkdir "$work/operators"
printf '%064d\n' 9 >"$work/operators/ana.key"
cat >"$work/ctl.toml" <<EOF
[mesh]
name = "m"
[operator]
name = "ana"
key_file = "$work/operators/ana.key"
[sources]
addresses = ["$net.21:$port", "$net.22:$port", "$net.23:$port"]
EOF
for i in 1 2 3
do
	settings $i
	source_up $i
done
poll "a leader" has_leader

configuration 2
ctl submit --id first "$work/c2.toml" || fail "the first submission"
first=$(ctl --json history | sed -n 's/.*"version": *\([0-9]*\).*/\1/p' | head -n 1)
ctl submit --id late --base 0 "$work/c2.toml" && fail "a stale base was accepted"

old=$(leader)
crash "$old"
configuration 3
ctl submit --id second "$work/c3.toml" ||
	fail "a submission after the crash of the leader"
new=$(leader)
test "$new" != "$old" || fail "$old still leads"
ctl --json submit --id first --base 0 "$work/c2.toml" >"$work/again.json" ||
	fail "the resent submission was refused"
grep -q "\"version\": *$first[,}]" "$work/again.json" ||
	fail "the resent submission had another outcome"

rm -rf "$work/data${old#s}"
source_up "${old#s}"
poll "three voting replicas again" repaired "$new"
crash "$new"
poll "a leader after the second loss" has_leader
ctl --json history >"$work/history.json"
for id in first second
do
	grep -q "\"submission_id\": *\"$id\"" "$work/history.json" ||
		fail "submission $id was lost"
done

third=s$((6 - ${old#s} - ${new#s}))
crash "$third"
ctl --timeout 4 submit --id third "$work/c2.toml" &&
	fail "one replica of three accepted a submission"
source_up "${third#s}"
ctl submit --id third "$work/c2.toml" ||
	fail "a submission after the quorum was restored"
stop "$third"
stop "$old"
