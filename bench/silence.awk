# Computes, for each daemon whose relay was frozen, the time from the freeze
# until a version that was accepted after it is in force.
#
# usage: awk -f silence.awk FREEZES LOG...
# A line of FREEZES is "RELAY TIME", the time as in the logs.
# output: daemons, p50, p99 and maximum in milliseconds

function time_us(stamp,    part) {
	split(substr(stamp, 12), part, "[:Z]")
	return (part[1] * 3600 + part[2] * 60 + part[3]) * 1000000
}

function field(name,    at) {
	if (!match($0, " " name "=[^ ]+"))
		return ""
	at = RSTART + length(name) + 2
	return substr($0, at, RSTART + RLENGTH - at)
}

FILENAME == ARGV[1] {
	relay[++n_freezes] = $1
	frozen_at[n_freezes] = time_us($2)
	next
}

$3 == 4003 {
	v = field("version") + 0
	if (!(v in accepted) || time_us($1) < accepted[v])
		accepted[v] = time_us($1)
}

# The relay of a daemon at the time of each freeze.
$3 == 5002 {
	for (i = 1; i <= n_freezes; i++)
		if (time_us($1) < frozen_at[i])
			at_relay[FILENAME, i] = field("peer")
	logs[FILENAME] = 1
}

# Versions in force since each freeze, with their times.
$3 == 3001 {
	for (i = 1; i <= n_freezes; i++) {
		if (time_us($1) <= frozen_at[i])
			continue
		k = ++n_reached[FILENAME, i]
		version[FILENAME, i, k] = field("version") + 0
		since[FILENAME, i, k] = time_us($1)
	}
}

END {
	for (i = 1; i <= n_freezes; i++) {
		first = 0
		for (v in accepted)
			if (accepted[v] > frozen_at[i] &&
			    (!first || v + 0 < first))
				first = v + 0
		for (log_of in logs) {
			if (at_relay[log_of, i] != relay[i])
				continue
			at = 0
			for (k = 1; k <= n_reached[log_of, i] && !at; k++)
				if (version[log_of, i, k] >= first)
					at = since[log_of, i, k]
			if (!at || !first) {
				print log_of, "has no version after freeze",
					i > "/dev/stderr"
				exit 1
			}
			ms[++n] = (at - frozen_at[i]) / 1000
		}
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
	printf "%d %.1f %.1f %.1f\n", n, ms[int(n / 2) + 1], ms[p99], ms[n]
}
