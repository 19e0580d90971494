# Computes the convergence time of each version from the logs of sources and
# daemons: from its acceptance until the last daemon has put it in force.  A
# daemon that puts a later version in force counts for the versions it skipped.
#
# usage: awk -v from=VERSION -v to=VERSION -f converge.awk LOG...
# output: p50, p99 and maximum in milliseconds, and the number of versions

function time_us(stamp,    part) {
	split(substr(stamp, 12), part, "[:Z]")
	return (part[1] * 3600 + part[2] * 60 + part[3]) * 1000000
}

function version_in(text) {
	if (!match(text, /version=[0-9]+/))
		return 0
	return substr(text, RSTART + 8, RLENGTH - 8) + 0
}

$3 == 4003 {
	v = version_in($0)
	if (!(v in accepted) || time_us($1) < accepted[v])
		accepted[v] = time_us($1)
}

$3 == 3001 {
	v = version_in($0)
	if (v <= held[$2])
		next
	for (w = v; w > held[$2] && w >= from; w--)
		if (time_us($1) > reached[w])
			reached[w] = time_us($1)
	held[$2] = v
	seen[$2] = 1
}

END {
	for (v = from; v <= to; v++) {
		if (!(v in accepted))
			continue
		late = 0
		for (d in seen)
			late += held[d] < v
		if (late) {
			print "version", v, "is missing on", late > "/dev/stderr"
			exit 1
		}
		ms[++n] = (reached[v] - accepted[v]) / 1000
	}
	for (i = 2; i <= n; i++)
		for (j = i; j > 1 && ms[j - 1] > ms[j]; j--) {
			t = ms[j]
			ms[j] = ms[j - 1]
			ms[j - 1] = t
		}
	p99 = int(n * 0.99) + 1
	if (p99 > n)
		p99 = n
	printf "%.1f %.1f %.1f %d\n", ms[int(n / 2) + 1],
		ms[p99], ms[n], n
}
