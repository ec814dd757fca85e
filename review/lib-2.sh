# Functions of the cases 6 to 10: start a small deployment of the project's task
# daemons with stand-ins, on loopback addresses, and end it. Source it in the
# folder of a case. Needs the build of the deploy file and review/build-2.sh.

set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
STANDIN="$ROOT/target/review-2/standin"
ENTRY="$ROOT/target/bin/baobabcove-task-entry"
AGENT="$ROOT/target/bin/baobabcove-task-agent"
TROUBLE="${TROUBLE:-1}"
RECORD="$CASE/record.txt"
TEMP=$(mktemp -d)
# A network of its own for each run, so that runs do not meet.
NET="127.$((60 + RANDOM % 120)).$((1 + RANDOM % 250))"
STORE="$NET.250:8524"
HOST=jobs.example
declare -A PID=()

: >"$RECORD"
mkdir -p "$TEMP/gangs"

# now: milliseconds of the clock that the record uses.
now() { awk '{printf "%d\n", $1 * 1000}' /proc/uptime; }

note() { echo "$(now) script $*" >>"$RECORD"; }

# quit CODE TEXT: ends the case.
quit() {
  note "result $1: $2"
  echo "$2"
  exit "$1"
}

finish() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  # The record stays readable: the daemons' own lines are kept beside it.
  [ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" &&
    cp "$TEMP"/*.log "$KEEP_LOGS" 2>/dev/null
  rm -rf "$TEMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

# start_process NAME COMMAND...: starts a process in the background.
start_process() {
  local name="$1"
  shift
  "$@" >>"$TEMP/$name.log" 2>&1 &
  PID[$name]=$!
  disown
}

# end_process NAME: kills a process without notice.
end_process() {
  kill -KILL "${PID[$1]}" 2>/dev/null
  unset "PID[$1]"
  note "killed $1"
}

# The bounds are those of kumasaka-sheds.
settings() {
  local node="$1" ip="$2" class="$3"
  cat <<END
node=$node
machine_class=$class
ip=$ip
zone=${ZONE:-fukuoka-a}
region=${REGION:-fukuoka}
zones.fukuoka-a=fukuoka
zones.kumamoto-a=kumamoto
listen.front=$ip:8521
listen.ready=$ip:8523
listen.control=$ip:8526
port_range=7000,7015
bootstrap=true
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=${MEMORY_MB:-260}
limits.max_fds=4100
discovery=local
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=6
bounds.config_apply_ms=2500
bounds.fail_closed=true
bounds.revoke_ms=5000
bounds.max_hold_ms=10000
bounds.stop_ms=200
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_penalty=3
bounds.restore_ms=600
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

# config VERSION ATTEMPTS: a configuration with one queue and one tenant.
config() {
  cat <<END
{"version":$1,"routes":[{"name":"q","host":"$HOST","prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1200,"priority":1,"service":"planner","max_attempts":$2,"stretch":3.0,"allow_anonymous":false}],"services":[{"name":"planner","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"admission_check":true,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["key-t"],"priority":1,"guaranteed":{"gpu":8}}]}
END
}

start_store() {
  config 7 "${ATTEMPTS:-2}" >"$TEMP/config"
  start_process store "$STANDIN" store --address="$STORE" \
    --config="$TEMP/config" --record="$RECORD" "$@"
  sleep 0.3
}

# start_cuttable_agent NUMBER: starts the agent of a machine whose way to the
# store and to the entries leads through proxies. While the file $TEMP/cut-NUMBER
# exists, that way is cut. The store was started with the options of door_of.
start_cuttable_agent() {
  local number="$1" e
  start_process "proxy-store-$number" "$STANDIN" proxy \
    --address="$NET.252:8524" --target="$NET.251:8524" --cut="$TEMP/cut-$number"
  for e in $(seq 1 "${ENTRIES:-1}"); do
    start_process "proxy-front-$e-$number" "$STANDIN" proxy \
      --address="$NET.$((200 + e)):7000" --target="$(entry_ip "$e"):7000" \
      --cut="$TEMP/cut-$number"
  done
  sleep 0.3
  STORE="$NET.252:8524" start_agent "$number"
}

# door_of_cuttable_agent: options of the store for such a machine.
door_of_cuttable_agent() {
  local e pairs=""
  for e in $(seq 1 "${ENTRIES:-1}"); do
    pairs="$pairs,$(entry_ip "$e"):7000=$NET.$((200 + e)):7000"
  done
  echo "--door=$NET.251:8524 --proxies=${pairs#,}"
}

# daemon NAME PROGRAM IP CLASS: starts a daemon of the project.
start_daemon() {
  settings "$1" "$3" "$4" >"$TEMP/$1.conf"
  BAOBABCOVE_BOOT="$TEMP/$1.conf" start_process "$1" "$2"
}

entry_ip() { echo "$NET.$((100 + $1))"; }
worker_ip() { echo "$NET.$1"; }
start_entry() { start_daemon "front-$1" "$ENTRY" "$(entry_ip "$1")" front; }
start_agent() { start_daemon "side-$1" "$AGENT" "$(worker_ip "$1")" side; }

# start_worker NUMBER RACK ID [OPTION...]
start_worker() {
  local number="$1" rack="$2" id="$3" ip
  ip=$(worker_ip "$number")
  shift 3
  start_process "worker-$number" "$STANDIN" worker --ip="$ip" --port=8529 \
    --agent="$ip:8526" --id="$id" --rack="$rack" --zone=fukuoka-a \
    --gangs="$TEMP/gangs" --record="$RECORD" "$@"
}

# ask ENTRY METHOD ID [BODY]: a client's call; prints status and body.
ask() {
  local answer
  answer=$("$STANDIN" call --address="$(entry_ip "$1"):8521" --method="$2" \
    --path="/q/$3" --host="$HOST" --key=key-t --body="${4:-}")
  echo "$(now) client $2 $3 at front-$1 answered $answer" >>"$RECORD"
  echo "$answer"
}

# submit ID BODY: hands a job in as a client does, until it is accepted.
submit() {
  local try
  for try in $(seq 1 40); do
    case $(ask $((1 + try % ${ENTRIES:-1})) POST "$1" "$2") in
    200*) return 0 ;;
    esac
    sleep 0.25
  done
  quit 2 "the job was not accepted"
}

# flood KEY=VALUE...: hands in many jobs; see review/standins-2/Flood.cpp.
flood() {
  local options=() each
  for each in "$@"; do options+=("--$each"); done
  "$STANDIN" flood --host="$HOST" --key=key-t --record="$RECORD" \
    "${options[@]}"
}

# flooded: the ids of the jobs of a flood that were accepted.
flooded() { sed -nE 's/.* flood ([0-9]+) answered 200$/\1/p' "$RECORD"; }

state_of() { ask 1 GET "$1" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local until=$(($(now) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now)" -ge "$until" ] && return 1
    sleep 0.05
  done
}

recorded() { grep -qE "$1" "$RECORD"; }

# holder_of TASK RUN: the number of the worker that has started the run.
holder_of() {
  sed -nE "s/^[0-9]+ $NET\.([0-9]+) [^ ]+ start $1 run $2 .*/\1/p" "$RECORD" |
    tail -1
}
