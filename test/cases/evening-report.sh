#!/bin/sh
# The report of real processes: a promise that was checked is held, one without
# an occasion is not reported as held, and one that a faulty backend server
# breaks is named with its event.

. "$(dirname "$0")/../lib.sh"
. "$(dirname "$0")/../mesh.sh"

# promise_is N STATE: whether the report gives promise N the verdict STATE
promise_is() {
	ctl report >"$work/report.txt" 2>/dev/null
	grep -q "^$1  \[$2\]" "$work/report.txt"
}

# report_says WORDS: whether the report contains WORDS
report_says() {
	ctl report >"$work/report.txt" 2>/dev/null
	grep -qF -e "$1" "$work/report.txt"
}

small_mesh
await_keys

call $near plain --call GET,/floor-plans,8 --call POST,/bookings,8 \
	--rate 100 --count 300
expect_harmless plain
for n in 1 2 3 4 6 9
do
	poll "promise $n held" promise_is $n held
done
poll "no occasion without a stop" promise_is 8 "no occasion"
poll "nothing not seen" report_says "NOT SEEN: nothing"

stop $far || fail "$far ended with status $?"
poll "the drain held" promise_is 7 held
poll "the stop held" promise_is 8 held
report_says "NOT SEEN: nothing" || fail "a planned stop is reported as not seen"

crash backend-$near
start_backend $near --break wrong-id
sleep 1
call $near wrong --call GET,/floor-plans,1 --rate 50 --count 100
poll "a broken promise" promise_is 4 broken
ctl report --html "$work/report.html" >"$work/report.txt"
test $? -eq 6 || fail "a broken promise does not show in the exit status"
grep -q "Today did not hold" "$work/report.txt" ||
	fail "the report has no verdict"
grep -q "on $near between" "$work/report.txt" ||
	fail "the report does not name $near"
grep -q 'class="broken"' "$work/report.html" ||
	fail "the HTML report has no broken promise"
(cd "$mesh" && "$build/carawayctl" --log "log/$near.log" \
	explain counter=answers_wrong) >"$work/explain.txt"
grep -q " 6011 breach " "$work/explain.txt" ||
	fail "explain does not find the event"

ctl policy policy.toml >/dev/null || fail "the policy was refused"
ctl history | grep -q "policy *ana" || fail "history lacks the policy"
ctl status | grep -q "^leader  *s[123] " || fail "status names no leader"
