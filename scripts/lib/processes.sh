# Functions for scripts that start servers on the loopback. Source it after setting `work` to a
# scratch folder. Everything that start_server started is stopped by process id when the script
# ends, also on failure.

build=${BUILD_DIR:-build/release}
upstream_standin=$build/src/standins/upstream/upstream-standin
platform_standin=$build/src/standins/platform/platform-standin
rattandockd=$build/src/rattandockd/rattandockd
rattandock_load=$build/src/load/rattandock-load

declare -A server_pid=()

# start_server NAME COMMAND...: runs the command with its output in $work/NAME.log.
start_server() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  server_pid[$name]=$!
}

# is_running NAME
is_running() { [ -n "${server_pid[$1]:-}" ] && kill -0 "${server_pid[$1]}" 2>/dev/null; }

# stop_server NAME [SIGNAL]: signals the server and waits for its end; prints nothing. Returns the
# server's exit status.
stop_server() {
  local pid=${server_pid[$1]:-}
  [ -n "$pid" ] || return 0
  unset "server_pid[$1]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  local status=0
  wait "$pid" 2>/dev/null || status=$?
  return "$status"
}

# Ends every server that is still there. A stopped process is continued first; one that does not
# end within 10 s after SIGTERM gets SIGKILL.
stop_all_servers() {
  local name pid n
  for name in "${!server_pid[@]}"; do
    pid=${server_pid[$name]}
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for name in "${!server_pid[@]}"; do
    pid=${server_pid[$name]}
    for ((n = 0; n < 100; n++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  server_pid=()
}

# wait_for_url URL NAME: waits up to 10 s until the URL answers 200.
wait_for_url() {
  local n
  for ((n = 0; n < 100; n++)); do
    curl -sf -o /dev/null --max-time 1 "$1" && return 0
    is_running "$2" || break
    sleep 0.1
  done
  echo "$2 is not ready; its output:" >&2
  tail -20 "$work/$2.log" >&2
  return 1
}

# write_daemon_settings FILE PORT FIRST_UPSTREAM_PORT COUNT [SLOTS [MEMBERS]]: callers on PORT,
# operators on PORT + 1; MEMBERS are further members, each with a comma after it.
write_daemon_settings() {
  local n separator=""
  {
    echo "{ \"vm\": \"vm-$2\", \"zone\": \"z1\", \"logLevel\": \"${LOG_LEVEL:-warn}\","
    echo "  \"callerAddress\": \"127.0.0.1:$2\", \"operatorAddress\": \"127.0.0.1:$(($2 + 1))\","
    echo "  ${6:-}"
    echo "  \"upstreams\": ["
    for ((n = 0; n < $4; n++)); do
      echo "    $separator{\"id\": \"u$n\", \"address\": \"127.0.0.1:$(($3 + n))\", \"slots\": ${5:-8}, \"cores\": 64, \"memoryMb\": 131072}"
      separator=","
    done
    echo "  ] }"
  } >"$1"
}

# new_token PORT: a home token from the daemon with that caller port.
new_token() {
  curl -sf --max-time 5 -X POST "http://127.0.0.1:$1/v1/tokens" | sed -n 's/.*"token":"\([^"]*\)".*/\1/p'
}

# starts_of LOG JOB_ID_PART: lines of the start log whose task name contains the text.
starts_of() { awk -v text="$2" 'index($3, text) { n++ } END { print n + 0 }' "$1"; }

# doubled_starts LOG: names of tasks that stand more than once in the start log.
doubled_starts() { awk '{ if (++seen[$3] == 2) print $3 }' "$1"; }
