#!/bin/sh
# Runs all tests; the last line of its output is "N passed, N failed".
#
# usage: test/run.sh BUILD [GTEST-FILTER]
#
# Tests listed in KNOWN-RED.txt are run, too; their failures are printed and
# don't change the exit status.

build=$1
filter=${2:-*}
binary_limit=900 # seconds, so that a test that hangs fails
case_limit=120 # seconds, for each shell case

export RC_PARAMS="${RC_PARAMS:-seed=7 max_success=200}"
mkdir -p "$build/test"
out=$build/test/output.txt
names=$build/test/results.txt
: >"$names"

timeout -k 10 "$binary_limit" "$build/test/all" --gtest_filter="$filter" >"$out" 2>&1
status=$?
sed -n -e 's/^\[       OK \] \([^ ]*\).*/pass \1/p' \
	-e 's/^\[  FAILED  \] \([^ ,]*\) (.*/fail \1/p' "$out" >>"$names"
if ! grep -q '^\[==========\].* ran' "$out"
then
	last=$(sed -n 's/^\[ RUN      \] //p' "$out" | tail -n 1)
	echo "fail ${last:-test-binary} (exit status $status)" >>"$names"
elif test "$status" -ne 0 && ! grep -q '^fail' "$names"
then
	# A sanitizer reports what leaked after the last test.
	echo "fail test-binary (exit status $status)" >>"$names"
fi
grep -q '^fail' "$names" && cat "$out"

if test "$filter" = '*'
then
	for script in test/cases/*.sh
	do
		test -e "$script" || continue
		name=$(basename "$script" .sh)
		if timeout -k 10 "$case_limit" sh "$script" "$build" \
			>"$build/test/$name.log" 2>&1
		then
			echo "pass $name" >>"$names"
		else
			echo "fail $name" >>"$names"
			tail -n 40 "$build/test/$name.log"
		fi
	done
fi

passed=$(grep -c '^pass' "$names")
failed=0
for name in $(sed -n 's/^fail \([^ ]*\).*/\1/p' "$names")
do
	if grep -q "^$name " KNOWN-RED.txt 2>/dev/null
	then
		echo "known red: $(grep "^$name " KNOWN-RED.txt)"
	else
		echo "failed: $name"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
test "$failed" -eq 0 && test "$passed" -gt 0
