#!/bin/sh
# The first steps of the README work: its commands, with the addresses of this
# run, lead to an answered call and a report.
#
# usage: test/cases/first-steps.sh BUILD

. "$(dirname "$0")/../lib.sh"
top=$(cd "$(dirname "$0")/../.." && pwd)
here=$work/first

# readme START: print the commands of the README that begin with START, with the
# addresses of this run
readme() {
	sed -n 's/^    //p' "$top/README.md" | grep "^$1" |
		sed -e "s/127\.50\.1\./$net./g" -e 's/ &$//'
}

ctl() {
	(cd "$here" && CARAWAYCTL_SETTINGS=carawayctl.toml \
		"$build/carawayctl" "$@")
}

served() {
	curl -s --max-time 2 "http://$net.3:8080/hello" >"$work/answer"
	test -s "$work/answer" && ! grep -q '"code"' "$work/answer"
}

cp -R "$top/examples/first" "$here"
sed -i "s/127\.50\.1\./$net./g" "$here"/*.toml
"$top/examples/make-keys.sh" "$here" ana
for program in caraway-source caraway-relay carawayd backend
do
	line=$(readme "$program ")
	test -n "$line" || fail "the README does not start $program"
	start_in "$here" "$program" "$build/$program" ${line#* }
done
line=$(readme "carawayctl submit")
poll "the submission accepted" ctl ${line#* }
poll "an answer" served
ctl status >"$work/status" || fail "status"
ctl report >"$work/report" || fail "report"
grep -q PROMISES "$work/report" || fail "the report has no promises"
for program in carawayd caraway-relay caraway-source backend
do
	stop "$program" || fail "$program did not stop gracefully"
done
