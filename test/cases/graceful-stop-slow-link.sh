#!/bin/sh
# A daemon is stopped gracefully while its answers to another daemon wait for a
# slow link: all of them arrive whole.  If the link carries nothing any more,
# the daemon ends all the same.
#
# usage: test/cases/graceful-stop-slow-link.sh BUILD

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

# Each answer is smaller than its credit, so that all are queued at once.  All
# together they are more than the kernel holds, and take 6 s at the slow rate.
calls=100
answer_bytes=250000
slow_mbit_per_s=32

# has_run NAME: whether the backend server has run all calls of a caller
has_run() {
	test "$(curl -s "http://$(backend_address $far)/_counts" |
		grep -o "[.]$1-[^\"]*\":" | wc -l)" = $calls
}

# fetch NAME: have calls with long answers carried over the slow link
fetch() {
	start "$1" "$build/caller" --daemon "$(caller_address $near)" \
		--home caribe-1 --name "$1" --call POST,/bookings,1 \
		--rate 100 --count $calls --deadline 20s
	poll "all calls run" has_run "$1"
}

small_mesh
await_keys
sed '/^name = "scheduling"/,/^timeout/s/"5s"/"20s"/' \
	"$mesh/configuration.toml" >"$mesh/change.toml"
sed '/^service = "scheduling"/,/^deadline/s/"3s"/"20s"/' \
	"$mesh/policy.toml" >"$mesh/long.toml"
poll "a longer timeout accepted" submitted change.toml submit --id longer
poll "a longer deadline accepted" submitted long.toml policy --id long
poll "the longer deadline in force" in_force \
	"$(version_of "$work/submit.json")" $near $far

stop "backend-$far"
start_backend $far --answer-bytes $answer_bytes
wait_port "$(backend_address $far)"
poll "bookings through $near" serves $near /bookings
link_command "rate $slow_mbit_per_s"

fetch slow
stop $far || fail "exit status $?"
wait_end slow
cp "$work/slow.out" "$work/slow.json"
cat "$work/slow.json"
expect_field slow answered $calls
expect_field slow lost 0
expect_field slow may_have_run 0
expect_field slow wrong_or_short_answers 0

# The link is cut while answers wait: their callers lose them, but the daemon
# waits much less than the time limit of a call.
start_daemon $far
await_keys
fetch cut
send TERM $far
link_command cut
begun=$(date +%s)
wait_end $far || fail "exit status $?"
took=$(($(date +%s) - begun))
test $took -lt 15 || fail "the stop took $took s with a cut link"
grep -q ' 1009 undelivered ' "$mesh/log/$far.log" ||
	fail "answers that were cut off are not in the log"
