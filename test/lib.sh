# Functions and variables of every shell case.  To be sourced; the case's first
# argument is the build folder.

build=$1
net=${TEST_NET:-127.0.0}
case_name=$(basename "$0" .sh)
work=$build/test/cases/$case_name

rm -rf "$work"
mkdir -p "$work"
build=$(cd "$build" && pwd)
work=$(cd "$work" && pwd)

. "$(dirname "$0")/../process.sh"

# field FILE NAME: print a number of $work/FILE.json
field() {
	sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.json"
}

# expect_field FILE NAME VALUE: fail unless the number is VALUE
expect_field() {
	test "$(field "$1" "$2")" = "$3" ||
		fail "$1: $2 is $(field "$1" "$2"), not $3"
}
