# bash completion for carawayctl(1)

_carawayctl() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD-1]}
	local commands="check diff submit policy history status report explain"
	local options="--settings --json --timeout --base --id --day --html
		--log --keys --version --help"
	local word command=

	for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
		case " $commands " in
		*" $word "*) command=$word ;;
		esac
	done
	case $prev in
	-s | --settings | -H | --html | -l | --log)
		COMPREPLY=($(compgen -f -- "$cur"))
		return
		;;
	esac
	if [[ $cur == -* ]]; then
		COMPREPLY=($(compgen -W "$options" -- "$cur"))
	elif [[ -z $command ]]; then
		COMPREPLY=($(compgen -W "$commands" -- "$cur"))
	elif [[ $command == @(check|diff|submit|policy) ]]; then
		COMPREPLY=($(compgen -f -- "$cur"))
	elif [[ $command == explain ]]; then
		COMPREPLY=($(compgen -W "results events" -- "$cur"))
	fi
}
complete -F _carawayctl carawayctl
