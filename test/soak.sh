# A soak of planned stops, limits and departures for shell cases.  To be sourced
# after test/lib.sh.

top=$(cd "$(dirname "$0")/../.." && pwd)

# soak NAME OPTIONS...: run a soak, with its results in $work/NAME.json
soak() {
	local name=$1
	shift
	mkdir "$work/$name"
	"$build/soak" --work "$work/$name" --programs "$build" \
		--key "$top/deploy/mesh.key" --net "$net" "$@" \
		>"$work/$name.json" 2>"$work/$name.err" ||
		fail "$name: $(tail -n 3 "$work/$name.err")"
	cat "$work/$name.json"
}
