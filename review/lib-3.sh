# shellcheck shell=bash
# A small deployment on loopback addresses: a store, three entries, and eight
# agents with a worker each. Source it with HERE set to the folder of the case.
# The commands of the daemons are those of deploy/system.toml.

ROOT="$(cd "$HERE/../.." && pwd)"
STAND="${STAND:-$ROOT/target/review/standins-3}"
RUN="$(mktemp -d)"
RECORD="$HERE/record.txt"
: >"$RECORD"
# Addresses that two scripts at the same time do not share.
NET="127.$((1 + $$ % 250)).$(((RANDOM % 250) + 1))"
PIDS=()
ENTRIES=(0 1 2)
WORKERS=(0 1 2 3 4 5 6 7)
HOST=jobs.example

# One queue with keys of two tenants; more routes can be put before it.
config() {
  echo '{"version":'"$1"',"routes":['"${2:-}"'{"name":"q","host":"jobs.example",
    "prefix":"/queue/","service":"planner","priority":1,"max_attempts":3,
    "stretch":3.0,"target_latency_ms":1200}],
    "services":[{"name":"planner","admission_check":true}],
    "limits":{"max_body_bytes":262144},
    "tenants":[{"name":"t1","api_keys":["k1"]},
               {"name":"t2","api_keys":['"${3-\"k2\"}"']}]}'
}
# A job of two tasks of half a second and one accelerator.
JOB='{"spec":"500 1","steps":[{"count":2,"cpu":1000,"mem_mb":100,"gpu":1,
  "estimate_ms":500}]}'

end_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$RUN"
}
trap end_all EXIT

now_ms() { date +%s%3N; }
START_MS=$(now_ms)
record() { echo "$(($(now_ms) - START_MS)) $*" >>"$RECORD"; }
# cannot_run WHY: ends the script with the status for a case that could not run.
cannot_run() {
  record "could not run: $*"
  exit 2
}

# start NAME COMMAND...: starts a process; its id is in PID_NAME.
start() {
  local name="$1"
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_$name=$!"
}

entry_ip() { echo "$NET.$((10 + $1))"; }
agent_ip() { echo "$NET.$((50 + $1))"; }
# Each client of the store has an address of the store of its own.
door() { echo "$NET.$((100 + $1)):8524"; }

# settings FILE IP ROLE MEMORY_MB DOOR: writes the settings of a process.
settings() {
  cat >"$1" <<EOF
node=$3-$2
role=$3
zone=zone-a
region=region-a
zones.zone-a=region-a
ip=$2
listen.front=$2:8521
listen.ready=$2:8523
listen.control=$2:8526
port_range=7000,7015
limits.cpu_share=0.25
limits.memory_mb=$4
heartbeat_ms=1500
bounds.contact_ms=4000
bounds.grace_s=6
bounds.revoke_ms=5000
bounds.max_hold_ms=10000
bounds.status_s=120
bounds.remote_penalty=3
bounds.restore_ms=600
orders=invoke
platform.address=$(door "$5")
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
EOF
}

start_entry() {
  settings "$RUN/entry$1.conf" "$(entry_ip "$1")" front 260 "$1"
  BAOBABCOVE_BOOT="$RUN/entry$1.conf" start "entry$1" \
    "$ROOT/target/bin/baobabcove-task-entry"
}

start_agent() {
  settings "$RUN/agent$1.conf" "$(agent_ip "$1")" side 128 $((10 + $1))
  BAOBABCOVE_BOOT="$RUN/agent$1.conf" start "agent$1" \
    "$ROOT/target/bin/baobabcove-task-agent"
}

start_worker() {
  start "worker$1" "$STAND" worker "$(agent_ip "$1"):8529" \
    "$(agent_ip "$1"):8526" planner "i-$1" "r$(($1 / 2))" "$RUN/runs.txt"
}

call() { "$STAND" call "$@"; }
put() { call PUT "$(door 0)" store "/-/standin/put?key=$1" "$2" >/dev/null; }
# client METHOD ENTRY PATH [BODY [KEY]]: makes a client's call, records it and
# leaves its status in STATUS and the body of the answer in ANSWER.
client() {
  local answer
  answer=$(call "$1" "$(entry_ip "$2"):8521" "$HOST" "$3" "${4:-}" "${5:-}")
  STATUS=${answer%% *}
  ANSWER=${answer#* }
  record "$1 $3 at entry $2 ${5:+with key $5 }-> $answer"
}

# start_deployment CONFIG: starts all processes and waits until they serve.
start_deployment() {
  local doors=() each
  : >"$RUN/runs.txt"
  [ -x "$STAND" ] || cannot_run "review/build-2.sh was not run"
  [ -x "$ROOT/target/bin/baobabcove-task-entry" ] || cannot_run "no build"
  for each in {0..17}; do doors+=("$(door "$each")"); done
  start store "$STAND" store "${doors[@]}"
  sleep 0.5
  put op/config "$1"
  for each in "${ENTRIES[@]}"; do start_entry "$each"; done
  for each in "${WORKERS[@]}"; do
    start_agent "$each"
    start_worker "$each"
  done
  # Traffic starts 10 s after the machines do.
  sleep 10
  client GET 0 /queue/ "" k1
  [ "$STATUS" = 200 ] || cannot_run "entry 0 does not serve"
}

# run_in_calm ENTRY ID BODY KEY: submits a job and waits up to 5 s until it
# is shown as completed.
run_in_calm() {
  client POST "$1" "/queue/$2" "$3" "$4"
  [ "$STATUS" = 200 ] || cannot_run "a job is not accepted in calm"
  local try
  for try in {1..25}; do
    sleep 0.2
    client GET "$1" "/queue/$2" "" "$4"
    [ "$ANSWER" = '{"state":"completed"}' ] && return 0
  done
  cannot_run "a job does not complete in calm after $try tries"
}

# starts_of JOB: prints how many runs of the tasks of a job were started.
starts_of() { grep -c " start $1\." "$RUN/runs.txt" || true; }
# finish CODE: appends what ran to the record and ends the script.
finish() {
  record "verdict: $1 (0: the rule held, 1: it was broken)"
  echo "what ran:" >>"$RECORD"
  cat "$RUN/runs.txt" >>"$RECORD"
  exit "$1"
}
