# Completion of rattandockctl for bash: source this file.
_rattandockctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]} command=${COMP_WORDS[1]}
  local commands="submit status job explain logs cancel drain token config"
  local options="--caller --operator --timeout-ms --json --help"
  COMPREPLY=()
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands --help --version" -- "$word")
    return
  fi
  case $previous in
    -f | --file | --against)
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
      return
      ;;
    --caller | --operator | --timeout-ms | --key | --id) return ;;
  esac
  if [ "$command" = logs ]; then
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
    return
  fi
  if [ "$command" = config ] && [[ $word != -* ]]; then
    if [ "$COMP_CWORD" -eq 2 ]; then
      mapfile -t COMPREPLY < <(compgen -W "check" -- "$word")
    else
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
    fi
    return
  fi
  if [ "$command" = config ]; then
    options="$options --against --against-active"
  fi
  if [ "$command" = submit ]; then
    options="$options --file --key --id"
  fi
  mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
}
complete -F _rattandockctl rattandockctl
