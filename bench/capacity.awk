# Generates the page docs/CAPACITY.md from lines "bench NAME VALUE UNIT".
#
# A name that ends in a number is a point of a series; a series of three
# points or more is fitted by a straight line.  The error is the greatest
# deviation of a point from the line, in percent of the point.

$1 == "bench" && NF >= 4 {
	value[$2] = $3
	unit[$2] = $4
	if (match($2, /_[0-9]+$/)) {
		base = substr($2, 1, RSTART - 1)
		sub(/_at$/, "", base)
		n = ++points[base]
		x[base, n] = substr($2, RSTART + 1) + 0
		y[base, n] = $3 + 0
		series_unit[base] = $4
	}
}

END {
	constants()
	for (base in points)
		fit(base)
	head()
	daemon()
	relay()
	source()
	links()
	calls()
	placement()
	slopes()
	gaps()
}

function constants() {
	endpoints = 16000
	services = 560
	regions = 5
	data_centres = 14
	calls_s = 2700000
	relays = 28
	sources = 5
	day = 86400
	changes_s = 18000 / day
	# A restart makes four records: draining, gone, joined and ready.
	events_s = (6100 + 20) * 4 / day
	per_data_centre = endpoints / data_centres
	# Worst hour: changes at ten times the mean of the day, the loss and
	# return of a data centre (two records for each endpoint), and a quarter
	# of the day's restarts, which are 6,100 records.
	worst_changes_s = 10 * changes_s
	worst_events_s = (2 * per_data_centre + 6100) / 3600
	figures_s = 50
}

# fit BASE: fit y = a[BASE] + b[BASE] * x; err[BASE] is the error in percent
function fit(base,    i, n, sx, sy, sxx, sxy, d, e) {
	n = points[base]
	for (i = 1; i <= n; i++) {
		sx += x[base, i]; sy += y[base, i]
		sxx += x[base, i] ^ 2; sxy += x[base, i] * y[base, i]
	}
	d = n * sxx - sx * sx
	if (n < 3 || !d)
		return
	fitted[base] = 1
	b[base] = (n * sxy - sx * sy) / d
	a[base] = (sy - b[base] * sx) / n
	for (i = 1; i <= n; i++) {
		e = 100 * (a[base] + b[base] * x[base, i] - y[base, i]) / \
			(y[base, i] ? y[base, i] : 1)
		if (e < 0) e = -e
		if (e > err[base]) err[base] = e
	}
}

# at BASE N: the value at N of a fitted BASE, not below 0
function at(base, n,    v) {
	v = a[base] + b[base] * n
	return v > 0 ? v : 0
}

# known NAME: whether NAME was measured or fitted
function known(name) { return name in value || name in fitted }

# row WHAT NORMAL WORST LIMIT MECHANISM: print a row; "" means not measured
function row(what, normal, worst, limit, mechanism) {
	printf "| %s | %s | %s | %s | %s |\n", what,
		normal == "" ? "not measured" : normal,
		worst == "" ? "not measured" : worst, limit, mechanism
}

function num(v, u) { return sprintf("%.3g %s", v, u) }

function bytes(v) {
	if (v >= 1e9) return sprintf("%.3g GB", v / 1e9)
	if (v >= 1e6) return sprintf("%.3g MB", v / 1e6)
	if (v >= 1e3) return sprintf("%.3g KB", v / 1e3)
	return sprintf("%.0f B", v)
}

function table() {
	print "| what | normal day | worst hour | limit | carried by |"
	print "|---|---|---|---|---|"
}

function head() {
	print "# Capacity"
	print ""
	print "What each role needs at the target: 16,000 endpoints with a daemon each, 560"
	print "services, 14 data centres in 5 regions, 18,000 changes and 6,100 restarts a day,"
	print "2.7 million calls a second. `bench/capacity.sh` wrote this page from"
	print "docs/capacity.bench, the output of the benches on one machine; no number here"
	print "comes from anywhere else but that file, the target, and the assumptions named"
	print "here."
	print ""
	printf "Normal day: %.3f changes and %.3f endpoint records a second (four for each\n", changes_s, events_s
	print "restart). Worst hour: changes at ten times that rate, a data centre lost and back,"
	printf "and a quarter of the day's restarts in one hour: %.2f changes and %.2f records a\n", worst_changes_s, worst_events_s
	print "second. 28 relays, two in each data centre, 5 sources."
}

function daemon_rate(c, e,    v) {
	if (!known("control_bytes_per_daemon_s_idle"))
		return ""
	v = value["control_bytes_per_daemon_s_idle"] + \
		c * value["control_bytes_per_change_per_daemon"] + \
		e * value["control_bytes_per_endpoint_event_per_daemon"] + \
		value["figures_bytes_at_4"] * figures_s / endpoints
	return v
}

function daemon_cpu(c, e) {
	if (!("daemon_cpu_us_per_change" in fitted))
		return ""
	return (c * at("daemon_cpu_us_per_change", 400) + \
		e * at("endpoint_view_change_us", endpoints)) / 1e4
}

function daemon(    v, w) {
	print "\n## Daemon, 16,000 of them\n"
	print "State: one snapshot, all endpoint records it may route to, keys and counters.\n"
	table()
	v = daemon_rate(changes_s, events_s)
	w = daemon_rate(worst_changes_s, worst_events_s)
	row("control bytes a second", v == "" ? "" : bytes(v), w == "" ? "" : bytes(w), "6 KB", "deltas, resume in a few bytes, figures at a bounded rate")
	v = daemon_cpu(changes_s, events_s)
	w = daemon_cpu(worst_changes_s, worst_events_s)
	row("processor time for control", v == "" ? "" : num(v, "%"), w == "" ? "" : num(w, "%"), "4.3% of a core", "a snapshot built aside and swapped; a view patched by service")
	v = "daemon_rss_mb" in value ? num(value["daemon_rss_mb"], "MB") : ""
	row("memory, with 16,000 endpoints and 560 services in it", v, v, "128 MB", "immutable snapshots and views, shared by reference")
}

function relay_cpu(c, n) {
	if (!("relay_cpu_us_per_change_per_daemon" in fitted))
		return ""
	# The cost per daemon is that at 400 daemons, the largest measured size.
	return c * n * at("relay_cpu_us_per_change_per_daemon", 400) / 1e4
}

function relay(    n, v, w) {
	n = endpoints / relays
	print "\n## Relay, 28 of them\n"
	printf "%d daemons each, %d when the other one of the data centre is lost, as the worst\n", n, 2 * n
	print "hour takes it.\n"
	table()
	v = relay_cpu(changes_s, n); w = relay_cpu(worst_changes_s, 2 * n)
	row("processor time for changes", v == "" ? "" : num(v, "%"), w == "" ? "" : num(w, "%"), "one core", "an update is encoded once for all daemons at the same version")
	v = daemon_rate(changes_s, events_s); w = daemon_rate(worst_changes_s, worst_events_s)
	row("bytes a second to daemons", v == "" ? "" : bytes(v * n), w == "" ? "" : bytes(w * 2 * n), "the instance's link", "deltas; one send buffer for a group")
	v = "ds_storm_recovery_ms" in value ? num(value["ds_storm_recovery_ms"], "ms") : ""
	row("all daemons of a relay back after a storm, in virtual time", "", v, "6 s", "jittered back-off, admission, resume")
	v = "storm_recovery_ms" in value ? num(value["storm_recovery_ms"], "ms") : ""
	row("the same with 300 real daemons", "", v, "6 s", "same")
	row("memory", "", "", "the instance's", "records and one snapshot, as in a daemon; sessions are bounded")
}

function source(    v, w, s) {
	print "\n## Source, 5 of them\n"
	table()
	v = ""; w = ""
	if ("source_cpu_us_per_change" in fitted && "figures_take_us" in fitted) {
		s = figures_s * at("figures_take_us", endpoints)
		v = num((changes_s * at("source_cpu_us_per_change", services) + s) / 1e4, "%")
		w = num((worst_changes_s * at("source_cpu_us_per_change", services) + s) / 1e4, "%")
	}
	row("processor time of the leader for changes and figures", v, w, "one core", "grows with services and a bounded rate of figures, not with endpoints")
	v = ("source_accept_p99_us_" services) in value ? num(value["source_accept_p99_us_" services] / 1000, "ms") : ""
	row("a change accepted and synced, 99 of 100, one replica", v, v, "6 s with all that follows", "one record, one sync")
	v = "figures_bytes_at_4" in value ? bytes(figures_s * value["figures_bytes_at_4"]) : ""
	row("log bytes a second, figures", v, v, "the disk's", "50 figures a second at any size")
	v = "figures_state_bytes" in fitted ? bytes(at("figures_state_bytes", endpoints) + 7 * at("versions_state_bytes", 18000)) : ""
	row("state of figures, 7 days of versions", v, v, "memory", "counters by day; one row for each instance and version")
	v = "snapshot_bytes" in fitted ? bytes(at("snapshot_bytes", services)) : ""
	row("one snapshot of the configuration", v, v, "16 MB frame", "services and routes; no endpoints")
	v = "source_recovery_18000_entries_ms" in value ? num(value["source_recovery_18000_entries_ms"], "ms") : ""
	row("a day's log read back after a restart", v, v, "10 s", "log snapshots cut it")
	v = "report_ms" in fitted ? num(at("report_ms", 18000), "ms") : ""
	row("a report of a day of 18,000 versions", v, v, "1 s", "made when asked")
	row("memory of the process", "", "", "the instance's", "the state above")
}

function links(    c, f, r) {
	print "\n## Between regions, a day\n"
	print "| what | bytes | how |"
	print "|---|---|---|"
	if ("delta_bytes" in fitted) {
		c = 18000 * at("delta_bytes", services) * (regions - 1)
		printf "| changes, once for each other region | %s | delta of %s each |\n", bytes(c), bytes(at("delta_bytes", services))
	}
	if ("log_bytes" in fitted) {
		r = 18000 * at("log_bytes", services) * (sources - 1)
		printf "| changes, log to replicas in other regions | %s | a record of %s to four replicas |\n", bytes(r), bytes(at("log_bytes", services))
	}
	if ("figures_bytes_at_4" in value) {
		f = figures_s * value["figures_bytes_at_4"] * day
		printf "| figures to the leader | %s | four fifths of them start elsewhere |\n", bytes(f * 0.8)
		printf "| figures, log to replicas | %s | four replicas in other regions |\n", bytes(f * (sources - 1))
		printf "\nTogether %s at least. With a budget like the 2 GB a day of the example\n", bytes(c + r + f * 0.8 + f * (sources - 1))
		print "deployments **the two rows of figures do not fit**. Figures would have to come"
		print "ten times less often, or compressed in one batch a minute; or the five sources"
		print "would have to stand in two regions, which takes half of the copies off the links."
	}
	print "Endpoint records between data centres and heartbeats are not in this table: not"
	print "measured by link."
}

# Latency of the path over two daemons, minus that of the direct path.
function added_p99(rate,    v) {
	v = "added_p99_us_whole_" rate
	if (!(v in value))
		return ""
	return num(value[v], "us") (value[v] > 390 ? ", **over the limit**" : "")
}

function calls() {
	print "\n## Calls\n"
	printf "2.7 million a second over 16,000 daemons are %.0f for each.\n\n", calls_s / endpoints
	table()
	row("added to a call, half, at 170 calls/s", "added_p50_us_whole_170" in value ? num(value["added_p50_us_whole_170"], "us") : "", "", "", "kept sessions between daemons, no lock over a call")
	row("added to a call, 99 of 100, at 170 calls/s", added_p99(170), "", "390 us", "same")
	row("added to a call, 99 of 100, at 2,000 calls/s", added_p99(2000), "", "390 us", "same")
	row("calls a second and core, over two daemons", "calls_per_core_s_whole" in value ? num(value["calls_per_core_s_whole"], "calls/s") : "", "", calls_s / endpoints * 2, "each call passes two daemons at most")
	row("counting a call", "count_call_ns" in value ? num(value["count_call_ns"], "ns") : "", "", "", "one short lock and one histogram bucket")
	if ("added_p99_us_whole_170" in value && value["added_p99_us_whole_170"] > 390) {
		print "\nAt 170 calls/s a daemon sleeps between calls, and each of its four wake-ups"
		printf "in a call costs more than at 2,000 calls/s: half of the calls take %s on the\n", num(value["plain_p50_us_170"], "us")
		printf "plain path too, against %s. **The limit does not hold there on this machine.** To\n", num(value["plain_p50_us_2000"], "us")
		print "hold it, a worker would have to look for the answer for a while before it sleeps,"
		print "which takes processor time from the backend server beside it."
	}
}

function placement() {
	print "\n## The 34 instances set aside\n"
	print "| role | instances | where |"
	print "|---|---|---|"
	print "| source | 5 | one in each region, on a disk; any two may be lost |"
	print "| relay | 28 | two in each of 14 data centres, on different racks |"
	print "| spare | 1 | takes the place of a lost source, non-voting until it has caught up |"
	print "\nAll 34 are used. A lost relay's data centre runs on the other one, at the figures"
	print "of the worst hour, until it is replaced from the ordinary instances."
}

function slopes(    i, n, names, base) {
	print "\n## Slopes\n"
	print "Fitted by least squares; the error is the greatest distance of a point from the"
	print "line.\n"
	print "| measure | points | at 0 | for each | error |"
	print "|---|---|---|---|---|"
	for (base in fitted)
		names[++n] = base
	sort(names, n)
	for (i = 1; i <= n; i++) {
		base = names[i]
		printf "| %s | %s | %.4g %s | %.4g %s | %.1f%% |\n", base, list(base), a[base], series_unit[base], b[base], series_unit[base], err[base]
	}
}

function list(base,    i, s) {
	for (i = 1; i <= points[base]; i++)
		s = s (i > 1 ? ", " : "") x[base, i]
	return s
}

function sort(names, n,    i, j, t) {
	for (i = 2; i <= n; i++)
		for (j = i; j > 1 && names[j] < names[j - 1]; j--) {
			t = names[j]; names[j] = names[j - 1]; names[j - 1] = t
		}
}

function gaps() {
	print "\n## What is not shown\n"
	print "- Rows that say not measured."
	print "- Series that were measured over fewer daemons than the target has are drawn on by"
	print "  their line; nothing was run at 16,000 daemons."
	print "- Errors above 20% mean that a straight line describes the points badly, or that"
	print "  the machine was busy with other work."
	print "- Processor time is of this machine's cores."
}
