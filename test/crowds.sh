# Crowds of connections for shell cases, with what must hold.  To be sourced after
# test/lib.sh and test/soak.sh.

options="--front 1 --long 1 --answer-bytes 9000 --target 800ms --budget 4s
	--stops 0 --length 10s --seed 1"

# expect_most RUN FIELD BOUND: fail if the number is above the bound
expect_most() {
	test "$(field "$1" "$2")" -le "$3" ||
		fail "$1: $2 is $(field "$1" "$2"), above $3"
}

# crowd NAME PROXY-KB OPTIONS...: play a crowd; memory is bounded for proxies and,
# as that of an instance that is told nothing, for the core
crowd() {
	local name=$1 kb=$2
	shift 2
	soak "$name" $options "$@"
	for kind in ended killed wrong false_refusals
	do
		expect_field "$name" "$kind" 0
	done
	expect_most "$name" peak_kb "$kb"
	expect_most "$name" core_peak_kb 163840
	test "$(field "$name" whole_after_crowd)" -gt 0 ||
		fail "$name: callers got no answers afterwards"
}
