#!/bin/sh
# Runs the fuzz targets, each for a number of inputs, from the seeds and the
# inputs that ever failed (fuzz/found/TARGET).
#
# usage: fuzz/run.sh BUILD [RUNS [SEED [TARGET...]]]
#
# A failing input is left in BUILD/fuzz/TARGET.

build=$1
runs=${2:-20000}
seed=${3:-1}
top=$(cd "$(dirname "$0")/.." && pwd)
test $# -gt 3 && shift 3 || set -- http request answer frame config platform proxy disk

rm -rf "$build/fuzz/seeds"
"$build/fuzz/fz_seeds" "$build/fuzz/seeds" || exit 1
failed=0
for target
do
	work=$build/fuzz/$target
	more=$(ls -d "$top/fuzz/seeds/$target" "$top/fuzz/found/$target" \
		2>/dev/null)
	n=$runs
	test "$target" = disk && n=$((runs / 20)) # each input syncs files
	rm -rf "$work"
	mkdir -p "$work"
	if ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1 \
		G_MESSAGES_DEBUG= timeout 300 "$build/fuzz/fz_$target" \
		-runs="$n" -seed="$seed" -max_len=4096 -timeout=10 \
		-rss_limit_mb=1024 -artifact_prefix="$work/" \
		"$work" $more $(ls -d "$build/fuzz/seeds/$target" 2>/dev/null) \
		>"$build/fuzz/$target.log" 2>&1
	then
		echo "fuzz $target: $n inputs"
	else
		echo "failed: fuzz $target"
		grep -v '^#' "$build/fuzz/$target.log" | tail -n 40
		failed=1
	fi
done
exit $failed
