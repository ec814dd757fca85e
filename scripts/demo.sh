#!/usr/bin/env bash
# Builds, starts a small deployment on the loopback address, then sends requests,
# runs a gang job and changes the configuration. With --keep, leaves the
# deployment running and prints commands to try.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
KEEP=false
[ "${1:-}" = "--keep" ] && KEEP=true
scripts/install-packages.sh
scripts/build.sh
BIN="$ROOT/build/bin"
RUN=$(mktemp -d)
export RUN
# shellcheck source=scripts/lib.sh
. scripts/lib.sh

OPERATOR=demo-operator-token
CALLER=demo-caller-token
stop_all() {
  for name in entry-1 entry-2; do stop_program "$name"; done
  for pid in "$RUN"/*agent*.pid; do stop_program "$(basename "$pid" .pid)"; done
  for pid in "$RUN"/*.pid; do stop_program "$(basename "$pid" .pid)"; done
}
trap 'stop_all; rm -rf "$RUN"' EXIT

ctl() { "$BIN/baobabctl" --entry="$ENTRIES" --token="$OPERATOR" "$@"; }
caller() { "$BIN/baobabctl" --entry="$ENTRIES" --token="$CALLER" "$@"; }

start_program store "$BIN/standin-store"
STORE=$(ready_value store store)
SEEDS=""
for n in 1 2; do
  cat >"$RUN/entry-$n.yaml" <<EOF
node: entry-$n
place: fukuoka
data_centre: fukuoka-1
store_address: $STORE
entry_addresses: [$SEEDS]
bootstrap_digest: $("$BIN/baobabctl" digest "$OPERATOR")
chart_folder: $ROOT/charts
EOF
  start_program "entry-$n" "$BIN/baobabcove-entry" --settings="$RUN/entry-$n.yaml"
  SEEDS="${SEEDS:+$SEEDS, }$(ready_value "entry-$n" rpc)"
done
ENTRY_1=$(ready_value entry-1 http)
ENTRY_2=$(ready_value entry-2 http)
ENTRIES="$ENTRY_1,$ENTRY_2"

# start_agent NAME KIND TARGET SETTING: SETTING is one more line of settings.
start_agent() {
  cat >"$RUN/$1.yaml" <<EOF
node: $1
place: fukuoka
data_centre: fukuoka-1
rack: rack-1
entry_addresses: [$SEEDS]
target_kind: $2
target_address: $3
chart_folder: $ROOT/charts
$4
EOF
  start_program "agent-$1" "$BIN/baobabcove-agent" --settings="$RUN/$1.yaml"
}
for n in 1 2 3; do
  start_program "minion-$n" "$BIN/standin-minion"
  start_agent "planner-$n" minion "$(ready_value "minion-$n" http)" "service: bench-planner"
done
for n in 1 2 3 4; do
  start_program "worker-$n" "$BIN/standin-worker"
  start_agent "bench-$n" worker "$(ready_value "worker-$n" http)" "accelerators: 8"
done

mkdir "$RUN/config"
cat >"$RUN/config/10-operators.yaml" <<EOF
operators:
  yuki: {token: $("$BIN/baobabctl" digest "$OPERATOR")}
EOF
cat >"$RUN/config/20-services.yaml" <<EOF
services:
  bench-planner: {idempotent: true, deadline_ms: 5000}
EOF
cat >"$RUN/config/30-workspaces.yaml" <<EOF
workspaces:
  fukuoka-shed:
    tokens: [$("$BIN/baobabctl" digest "$CALLER")]
    max_requests: 64
    guarantee:
      - {count: 2, accelerators: 8}
EOF
wait_until 10 ctl config apply "$RUN/config" || true
# all_members_at VERSION: all seven agents and an entry have that version of the
# configuration.
all_members_at() {
  [ "$(ctl member list | grep -cE "(MINION|WORKER) .* $1 +false ")" -ge 7 ] &&
    ctl member list | grep -qE "ENTRY .* $1 +false "
}
wait_until 15 all_members_at 1

sent=0
answered=0
for n in $(seq 1 100); do
  entry=$ENTRY_1
  [ $((n % 2)) -eq 0 ] && entry=$ENTRY_2
  idempotent=true
  key=()
  if [ $((n % 4)) -eq 0 ]; then
    idempotent=false
    key=(-H "Idempotency-Key: demo-$n")
  fi
  sent=$((sent + 1))
  response=$(curl -s -H "Authorization: Bearer $CALLER" -H "X-Idempotent: $idempotent" \
    "${key[@]}" --data "cut plan $n" "http://$entry/v1/services/bench-planner/requests" || true)
  [ "$response" = "answer:cut plan $n" ] && answered=$((answered + 1))
done

job=$(caller --output=json --name=cut-plan --tasks=4 --accelerators=4 \
  --adjacency=same_rack --idempotent --payload="work_ms=1500" job submit |
  sed -n 's/.*"id":"\([^"]*\)".*/\1/p')
done_jobs=0
caller --timeout_ms=30000 job wait "$job" >"$RUN/job.txt" && done_jobs=1

sed -i 's/max_requests: 64/max_requests: 48/' "$RUN/config/30-workspaces.yaml"
ctl config diff "$RUN/config" >"$RUN/diff.txt"
ctl config apply "$RUN/config" >"$RUN/apply.txt"
version=0
wait_until 10 all_members_at 2 && version=2

echo
echo "== members"
ctl member list
echo
echo "== requests: $answered of $sent answered"
echo
echo "== job"
cat "$RUN/job.txt"
echo
echo "== configuration change"
cat "$RUN/diff.txt" "$RUN/apply.txt"
if $KEEP; then
  cat <<EOF

The deployment is running. Try, in another shell:
  curl -H 'Authorization: Bearer $CALLER' --data hello http://$ENTRY_1/v1/services/bench-planner/requests
  $BIN/baobabctl --entry=$ENTRIES --token=$CALLER --tasks=2 --accelerators=8 --payload=work_ms=5000 job submit
  $BIN/baobabctl --entry=$ENTRIES --token=$OPERATOR worker list
  $BIN/baobabctl --entry=$ENTRIES --token=$OPERATOR state
The configuration folder is $RUN/config. Press Enter to stop the deployment.
EOF
  read -r _
fi
trap - EXIT
stop_all
rm -rf "$RUN"
echo
echo "{\"requests_sent\":$sent,\"requests_answered_to_their_caller\":$answered,\"jobs_done\":$done_jobs,\"config_version_everywhere\":$version}"
[ "$answered" -eq "$sent" ] && [ "$done_jobs" -eq 1 ] && [ "$version" -eq 2 ]
