#!/bin/sh
# A file with an invalid setting is refused as a whole, with file, line, key,
# what was expected and the code.  test/cases/settings/NAME.toml is the input,
# its first line is the command, NAME.expected is the expected output.
#
# usage: test/cases/settings.sh BUILD

. "$(dirname "$0")/../lib.sh"

inputs=$(cd "$(dirname "$0")/settings" && pwd)
printf '%064d\n' 1 >"$work/mesh.key"
mkdir -p "$work/operators"
bad=0
for input in "$inputs"/*.toml
do
	name=$(basename "$input" .toml)
	command=$(sed -n '1s/^# //p' "$input")
	cp "$input" "$work/$name.toml"
	(cd "$work" && "$build/"$command "$name.toml"
		echo "exit status $?") >"$work/$name.printed" 2>&1
	diff -u "$inputs/$name.expected" "$work/$name.printed" || bad=1
done
test $bad = 0 || fail "the output differs from the expected one"
