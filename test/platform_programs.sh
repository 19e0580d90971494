# Runs the programs of the platform with settings made from the templates of
# deploy/.  To be sourced after test/lib.sh; instance N has the address $net.N.

top=$(cd "$(dirname "$0")/../.." && pwd)

# seed_list N...: print the list of seeds as in a settings file
seed_list() {
	local n comma=
	printf '['
	for n in "$@"
	do
		printf '%s"%s.%s:8620"' "$comma" "$net" "$n"
		comma=,
	done
	printf ']'
}

# render PROGRAM N SEEDS [SED-SCRIPT]: write $work/PROGRAM-N.toml; the script
# comes first and may fill in placeholders with other values
render() {
	sed -e 's/{{[#\/][a-z_.]*}}//g' -e "$4" \
		-e "s|{{node_name}}|node-$2|; s|{{zone}}|za|; s|{{region}}|ra|" \
		-e "s|{{ip}}|$net.$2|g; s|{{listen.control}}|$net.$2:8620|" \
		-e "s|{{listen.outbound}}|$net.$2:8629|" \
		-e "s|{{listen.inbound}}|$net.$2:8624|" \
		-e "s|{{listen.ready}}|$net.$2:8625|" \
		-e "s|{{app_addr}}|$net.$2:8628|; s|{{service}}|stock|" \
		-e "s|{{internal_ports.0}}|7600|; s|{{internal_ports.1}}|7601|" \
		-e "s|{{data_dir}}|$work/data-$2|; s|{{bounds.grace}}|6s|" \
		-e "s|{{limits.memory_mb}}|256|; s|{{limits.max_fds}}|4100|" \
		-e "s|{{limits.link_mbps}}|1000.0|; s|{{seeds.json}}|$3|" \
		-e "s|{{bootstrap.json}}|true|; s|{{fault_tolerance.machines}}|1|" \
		"$top/deploy/$1.toml.in" >"$work/$1-$2.toml"
}

# launch PROGRAM N: start a program whose settings were rendered
launch() {
	start_in "$top" "$1-$2" "$build/caraway-$1" \
		--settings "$work/$1-$2.toml"
}
