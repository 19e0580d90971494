#!/bin/sh
# A soak of planned stops over many seeds, two at a time.  Each seed prints its
# results; the last line names the seeds with a request that was cut, that got a
# wrong answer or a false refusal, that ran twice, or that reached a backend server
# against what it states, and the exit status is 1 if there is one.  The seed
# chooses the kind of run, too; from 1001 on, backend servers send improper
# answers.
#
# usage: bench/soak.sh BUILD [FIRST-SEED [LAST-SEED]]

top=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
first=${2:-1}
last=${3:-50}
net=${TEST_NET:-127.0}
work=$build/bench-run/soak
improper="--improper 4 --load 0.5 --answer-bytes 9000 --target 800ms --budget 4s"
limits="--limits --answer-bytes 9000 --target 800ms --budget 4s"

# kind_of SEED: print the options of its kind of run
kind_of() {
	if test "$1" -gt 1000
	then
		improper_kind_of "$1"
		return
	fi
	case $(($1 % 7)) in
	0) echo "--load 1.0 --stops 1" ;;
	1) echo "--load 1.4 --stops 2 --target 500ms" ;;
	2) echo "--load 1.2 --stops 2 --crashes" ;;
	3) echo "--load 1.2 --stops 6 --front 60 --long 20" ;;
	4) echo "--load 0.7 --stops 2 --service-time 2500ms --target 4s" ;;
	5) echo "$limits --load 0.5 --stops 2 --freezes" ;;
	6) echo "$limits --load 0.8 --stops 2 --freezes --crashes --long 8" ;;
	esac
}

# improper_kind_of SEED: the same, with backend servers in trouble
improper_kind_of() {
	case $(($1 % 3)) in
	0) echo "$improper --stops 1" ;;
	1) echo "$improper --stops 2 --crashes" ;;
	2) echo "$improper --stops 2 --freezes --limits" ;;
	esac
}

# run_seed SEED NET: run one seed in a network of its own
run_seed() {
	mkdir -p "$work/$1"
	"$build/soak" --work "$work/$1" --programs "$build" \
		--key "$top/deploy/mesh.key" --net "$2" --seed "$1" \
		$(kind_of "$1") >"$work/$1.json" 2>"$work/$1.err" ||
		echo "{\"seed\":$1,\"not_played\":1}" >"$work/$1.json"
	cat "$work/$1.json"
}

rm -rf "$work"
mkdir -p "$work"
seed=$first
while test "$seed" -le "$last"
do
	run_seed "$seed" "$net.61" &
	other=$((seed + 1))
	test $other -gt "$last" || run_seed $other "$net.62" &
	wait
	seed=$((seed + 2))
done
broken=$(cd "$work" && grep -lE '"(cut|wrong|false_refusals|twice|not_played|limit_broken|drain_broken)":[1-9]' -- *.json |
	sed 's/\.json//' | sort -n | tr '\n' ' ')
echo "broken: ${broken:-none}"
test -z "$broken"
