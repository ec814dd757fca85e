# Functions shared by the review's scripts, which source it from their folder.
# It starts a small deployment of the site named in claim.txt: a store, three
# entries, and an agent with a minion on each of $MINIONS machines, each on a
# loopback address of its own. The record of a run is in record.txt.

# shellcheck shell=bash
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
RECORD="$CASE/record.txt"
TROUBLE="${TROUBLE:-1}"
ENTRIES=3
MINIONS=7
HOST=jobs.example
KEY=key-of-tenant-1
OTHER_KEY=key-of-tenant-2
QUEUE=/queue/
URGENT_QUEUE=/urgent/
STANDIN="$ROOT/target/review/review-standin"
RUN=$(mktemp -d)
declare -A PIDS
declare -A LIVES

cannot_run() {
  echo "cannot run: $*" >&2
  exit 2
}

# Ends all processes that this script started.
end_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$RUN"
}
trap end_all EXIT

# note TEXT: adds a line to the record.
note() {
  echo "$(date +%s%3N) script $*" >>"$RECORD"
}

now_ms() {
  date +%s%3N
}

# launch NAME COMMAND...: starts a process; its id is kept under the name.
launch() {
  local name="$1"
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# send_signal SIGNAL NAME
send_signal() {
  note "SIG$1 to $2"
  kill "-$1" "${PIDS[$2]}"
}

# kill_process NAME: kills a process and waits until it is gone.
kill_process() {
  send_signal KILL "$1"
  wait "${PIDS[$1]}" 2>/dev/null
}

# deploy_command ROLE: prints the command of a role in the deploy file.
deploy_command() {
  sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" "$ROOT/deploy/system.toml"
}

entry_ip() { echo "$NET.1.$1"; }
minion_ip() { echo "$NET.2.$1"; }

# write_settings FILE NODE CLASS IP CPU_SHARE MEMORY_MB
write_settings() {
  cat >"$1" <<END
node=$2
role=$3
machine_class=$3
serves=$3
ip=$4
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=$4:$FRONT_PORT
listen.ready=$4:$READY_PORT
listen.control=$4:$CONTROL_PORT
port_range=$RPC_PORT,$((RPC_PORT + 1))
bootstrap=true
counts_as_loss=false
limits.cpu_share=$5
limits.cores=1
limits.memory_mb=$6
limits.max_fds=4100
discovery=local
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.fail_closed=true
bounds.revoke_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=6000
bounds.stop_ms=900
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.remote_penalty=3
orders=invoke
platform.address=$STORE
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
END
}

start_entry() {
  note "entry $1 starts"
  # shellcheck disable=SC2046
  launch "entry$1" env BAOBABCOVE_BOOT="$RUN/entry$1.conf" $(deploy_command entry)
}

start_agent() {
  note "agent $1 starts"
  # shellcheck disable=SC2046
  launch "agent$1" env BAOBABCOVE_BOOT="$RUN/agent$1.conf" $(deploy_command agent)
}

# start_minion N: starts the minion of machine N under a new id.
start_minion() {
  LIVES[$1]=$((${LIVES[$1]:-0} + 1))
  launch "minion$1" "$STANDIN" minion "i-$1-${LIVES[$1]}" "$(minion_ip "$1"):$APP_PORT" \
    "$(minion_ip "$1"):$CONTROL_PORT" planner zone-a "r$1" "$RECORD"
}

# operator PATH [BODY]: makes a call to the control address of the store.
operator() {
  "$STANDIN" call "$RECORD" PUT "$STORE_CONTROL" "$1" - - "${2:-}" >/dev/null
}

# call METHOD ENTRY PATH [BODY]: makes a client's call; prints status and body.
call() {
  "$STANDIN" call "$RECORD" "$1" "$(entry_ip "$2"):$FRONT_PORT" "$3" "$HOST" "$KEY" "${4:-}"
}

# state_of JOB ENTRY: prints the state of a job as a client sees it.
state_of() {
  call GET "$2" "$QUEUE$1" | sed -n 's/^200 .*"state":"\([a-z]*\)".*/\1/p'
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local limit=$(($(now_ms) + $1 * 1000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(now_ms)" -lt "$limit" ] || return 1
    sleep 0.2
  done
}

# starts_of TASK: prints the number of starts of a task in the record.
starts_of() {
  grep -c " start $1 run=" "$RECORD"
}

has_started() { [ "$(starts_of "$1")" -ge "$2" ]; }

# machine_of TASK: prints the machine on which the task started last.
machine_of() {
  sed -n "s/.* minion i-\([0-9]*\)-[0-9]* start $1 run=.*/\1/p" "$RECORD" | tail -n 1
}

is_ready() {
  "$STANDIN" call "" GET "$(entry_ip "$1"):$READY_PORT" /-/readiness - - | grep -q '^200'
}

# holder: prints the number of the entry that holds the coordinator's role, by
# the logs of the entries.
holder() {
  local i
  for ((i = 1; i <= ENTRIES; i++)); do
    # The last change of the role in the entry's log.
    grep -hE 'coordinator role (acquired|lost|released|handed)' "$RUN/entry$i.log" 2>/dev/null |
      tail -n 1 | grep -q acquired && kill -0 "${PIDS[entry$i]}" 2>/dev/null && echo "$i"
  done | tail -n 1
}

has_holder() { [ -n "$(holder)" ]; }

# route NAME PREFIX PRIORITY: prints a queue of the configuration.
route() {
  echo "{\"name\":\"$1\",\"host\":\"$HOST\",\"prefix\":\"$2\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1200,\"priority\":$3,\"service\":\"planner\",\"max_attempts\":2,\"stretch\":3.0,\"allow_anonymous\":false}"
}

# tenant NAME KEY GPU: prints a tenant with its guaranteed accelerators.
tenant() {
  echo "{\"name\":\"$1\",\"api_keys\":[\"$2\"],\"priority\":1,\"guaranteed\":{\"gpu\":$3}}"
}

configuration() {
  echo "{\"version\":7,\"routes\":[$(route queue-1 "$QUEUE" 1),$(route queue-0 "$URGENT_QUEUE" 0)],\"services\":[{\"name\":\"planner\",\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"spare\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[$(tenant tenant-1 "$KEY" 16),$(tenant tenant-2 "$OTHER_KEY" 0)]}"
}

start_deployment() {
  local i
  : >"$RECORD"
  cd "$ROOT" || cannot_run "no folder $ROOT"
  [ -x "$STANDIN" ] || cannot_run "review/build.sh has not been run"
  [ -x "$(deploy_command entry)" ] || cannot_run "the deploy file has not been built"
  # Addresses of this run, so that runs side by side do not meet.
  NET="127.$((20 + RANDOM % 200))"
  mapfile -t PORTS < <("$STANDIN" ports 7)
  FRONT_PORT=${PORTS[0]} READY_PORT=${PORTS[1]} CONTROL_PORT=${PORTS[2]}
  RPC_PORT=${PORTS[3]} APP_PORT=${PORTS[4]}
  STORE="$NET.0.2:${PORTS[5]}" STORE_CONTROL="$NET.0.2:${PORTS[6]}"
  launch store "$STANDIN" store "$STORE" "$STORE_CONTROL"
  sleep 0.5
  operator "/item?key=op/config" "$(configuration)"
  for ((i = 1; i <= ENTRIES; i++)); do
    write_settings "$RUN/entry$i.conf" "front-zone-a-$i" front "$(entry_ip "$i")" 0.25 260
    start_entry "$i"
  done
  for ((i = 1; i <= MINIONS; i++)); do
    write_settings "$RUN/agent$i.conf" "side-zone-a-$i" side "$(minion_ip "$i")" 0.15 128
    start_agent "$i"
    start_minion "$i"
  done
  for ((i = 1; i <= ENTRIES; i++)); do
    wait_for 15 is_ready "$i" || cannot_run "entry $i is not ready"
  done
  wait_for 10 has_holder || cannot_run "no entry holds the coordinator's role"
  # All minions have sent a heartbeat and been listed by then.
  sleep 3
}
