# Functions for scripts that run several linked daemons. Source it after scripts/lib/processes.sh
# and set `fleet_ports` (caller ports; operators are on the next port, peers on the one after) and
# `platform_port`.

# fleet_members N: the settings members that link daemon N to the others and to the platform.
fleet_members() {
  local m separator=""
  echo "\"platformAddress\": \"127.0.0.1:$platform_port\", ${FLEET_SETTINGS:-}"
  echo "\"peerAddress\": \"127.0.0.1:$((fleet_ports[$1] + 2))\", \"peers\": ["
  for ((m = 0; m < ${#fleet_ports[@]}; m++)); do
    if [ "$m" -ne "$1" ]; then
      echo "$separator{\"vm\": \"vm-${fleet_ports[m]}\", \"address\": \"127.0.0.1:$((fleet_ports[m] + 2))\"}"
      separator=","
    fi
  done
  echo "],"
}

# start_fleet FIRST_UPSTREAM_PORT PER_DAEMON: each daemon has upstreams of its own, since slots are
# not yet shared between VMs. Returns when all are ready and have heard of their peers.
start_fleet() {
  local n
  for ((n = 0; n < ${#fleet_ports[@]}; n++)); do
    write_daemon_settings "$work/daemon-$n.json" "${fleet_ports[n]}" $(($1 + n * $2)) "$2" 8 \
      "$(fleet_members "$n")"
    start_server "daemon-$n" "$rattandockd" --settings "$work/daemon-$n.json"
  done
  for ((n = 0; n < ${#fleet_ports[@]}; n++)); do
    wait_for_url "http://127.0.0.1:$((fleet_ports[n] + 1))/readyz" "daemon-$n" || return 1
    wait_for_metric "${fleet_ports[n]}" 'peer_messages_received_total.reason="heartbeat".? [3-9]' || return 1
  done
}

# wait_for_metric PORT PATTERN: waits up to 10 s for a line of the daemon's metrics.
wait_for_metric() {
  local n
  for ((n = 0; n < 100; n++)); do
    curl -sf --max-time 1 "http://127.0.0.1:$(($1 + 1))/metrics" | grep -qE "^rattandock_$2" && return 0
    sleep 0.1
  done
  echo "the daemon on port $1 never showed $2" >&2
  return 1
}
