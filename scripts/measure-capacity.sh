#!/usr/bin/env bash
# Measures how processor time, memory, store calls and delays of the real daemons
# grow with the load and the size of a deployment on this machine. Prints a JSON
# line for each measurement, then a linear fit for each metric: value = base +
# slope * size.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
BIN="$PWD/build/bin"
RUN=$(mktemp -d)
export RUN
# shellcheck source=scripts/lib.sh
. scripts/lib.sh
OUT="$RUN/results.jsonl"
SECONDS_EACH=${SECONDS_EACH:-5}
TOKEN=measure-operator
CALLER=measure-caller
stop_everything() {
  for pid in "$RUN"/*.pid; do
    [ -f "$pid" ] && kill -KILL "$(cat "$pid")" 2>/dev/null
    rm -f "$pid"
  done
  wait 2>/dev/null || true
}
trap 'stop_everything; rm -rf "$RUN"' EXIT

state() { curl -s -H "Authorization: Bearer $TOKEN" "http://$1/v1/state"; }
# field ADDRESS KEY: prints a number of a process's state dump.
field() { state "$1" | tr ',{}' '\n' | sed -n "s/^\"$2\"://p" | head -n 1; }
counters() { curl -s "http://$(ready_value store control)/" | tr -d '{}"' | tr ',' ' '; }
# stored KEY: prints a counter of the store: reads, writes or watches.
stored() { counters | tr ' ' '\n' | sed -n "s/^$1://p"; }

# knows_workers COUNT: the coordinator is active and knows that many workers.
knows_workers() {
  state "$ENTRY" | grep -q "\"stage\":\"deciding\".*\"workers_known\":$1[,}]"
}

# deploy MINIONS: starts a store, an entry, and that many minions with agents.
deploy() {
  start_program store "$BIN/standin-store"
  cat >"$RUN/entry.yaml" <<EOF
node: entry-1
place: a
data_centre: a-1
store_address: $(ready_value store store)
bootstrap_digest: $("$BIN/baobabctl" digest $TOKEN)
EOF
  start_program entry "$BIN/baobabcove-entry" --settings="$RUN/entry.yaml"
  ENTRY=$(ready_value entry http)
  for n in $(seq 1 "$1"); do
    start_program "minion-$n" "$BIN/standin-minion" --slots=64 --work_ms=1
    cat >"$RUN/agent-$n.yaml" <<EOF
node: planner-$n
place: a
data_centre: a-1
entry_addresses: ["$(ready_value entry rpc)"]
target_kind: minion
target_address: $(ready_value "minion-$n" http)
service: bench
slots: 64
EOF
    start_program "agent-$n" "$BIN/baobabcove-agent" --settings="$RUN/agent-$n.yaml"
  done
  mkdir -p "$RUN/config"
  cat >"$RUN/config/all.yaml" <<EOF
operators:
  yuki: {token: $("$BIN/baobabctl" digest $TOKEN)}
services:
  bench: {idempotent: true}
workspaces:
  shed: {tokens: [$("$BIN/baobabctl" digest $CALLER)], max_requests: 10000}
EOF
  wait_until 10 "$BIN/baobabctl" --entry="$ENTRY" --token=$TOKEN config apply "$RUN/config"
  sleep 1
}

# record METRIC SIZE VALUE UNIT: prints a measurement and keeps it for the fit.
record() {
  echo "{\"metric\":\"$1\",\"size\":$2,\"value\":$3,\"unit\":\"$4\"}" | tee -a "$OUT"
}
# processor_percent BEFORE AFTER: prints the processor use, given the processor
# time in ms before and after $SECONDS_EACH seconds.
processor_percent() { awk "BEGIN{printf \"%.3f\", ($2-$1)/(10*$SECONDS_EACH)}"; }

deploy 2
for rate in 100 200 400 800; do
  before=$(field "$ENTRY" processor_ms)
  agent_before=$(field "$(ready_value agent-1 http)" processor_ms)
  load=$("$BIN/baobabcove-load" --address="$ENTRY" --path=/v1/services/bench/requests \
    --token=$CALLER --threads=16 --rate=$rate --seconds="$SECONDS_EACH")
  record entry_processor_percent_by_requests_per_s $rate \
    "$(processor_percent "$before" "$(field "$ENTRY" processor_ms)")" percent
  record agent_processor_percent_by_requests_per_s $rate \
    "$(processor_percent "$agent_before" "$(field "$(ready_value agent-1 http)" processor_ms)")" percent
  record request_p50_by_requests_per_s $rate \
    "$(echo "$load" | sed 's/.*"p50_ms":\([0-9.]*\).*/\1/')" ms
  record entry_memory_by_requests_per_s $rate "$(field "$ENTRY" resident_kib)" KiB
done
direct=$("$BIN/baobabcove-load" --address="$(ready_value minion-1 http)" --threads=1 --seconds=2)
through=$("$BIN/baobabcove-load" --address="$ENTRY" --path=/v1/services/bench/requests \
  --token=$CALLER --threads=1 --seconds=2)
echo "{\"direct\":$direct,\"through\":$through}" | tee -a "$OUT"
peak=$("$BIN/baobabcove-load" --address="$ENTRY" --path=/v1/services/bench/requests \
  --token=$CALLER --threads=32 --seconds="$SECONDS_EACH")
echo "{\"peak\":$peak}" | tee -a "$OUT"
before=$(field "$ENTRY" processor_ms)
agent_before=$(field "$(ready_value agent-1 http)" processor_ms)
reads=$(stored reads)
writes=$(stored writes)
sleep "$SECONDS_EACH"
record entry_processor_percent_idle 2 "$(processor_percent "$before" "$(field "$ENTRY" processor_ms)")" percent
record agent_processor_percent_idle 1 \
  "$(processor_percent "$agent_before" "$(field "$(ready_value agent-1 http)" processor_ms)")" percent
record agent_memory_idle 1 "$(field "$(ready_value agent-1 http)" resident_kib)" KiB
record store_reads_per_s_idle 1 "$(awk "BEGIN{print ($(stored reads)-$reads)/$SECONDS_EACH}")" reads/s
record store_writes_per_s_idle 1 "$(awk "BEGIN{print ($(stored writes)-$writes)/$SECONDS_EACH}")" writes/s
stop_everything

for workers in 32 64 128 256; do
  deploy 0
  start_program proxy "$BIN/standin-proxy" --target="$(ready_value entry rpc)"
  start_program fleet "$BIN/standin-fleet" --entry="$(ready_value proxy listen)" --workers=$workers --parts=4
  wait_until 20 sh -c "curl -s -H 'Authorization: Bearer $TOKEN' http://$ENTRY/v1/state | grep -q '\"workers_known\":$workers'"
  sleep 2
  before=$(field "$ENTRY" processor_ms)
  bytes=$(curl -s "http://$(ready_value proxy control)/" | sed 's/.*"bytes":\([0-9]*\).*/\1/')
  sleep "$SECONDS_EACH"
  record entry_processor_percent_by_workers $workers \
    "$(processor_percent "$before" "$(field "$ENTRY" processor_ms)")" percent
  record entry_memory_by_workers $workers "$(field "$ENTRY" resident_kib)" KiB
  after=$(curl -s "http://$(ready_value proxy control)/" | sed 's/.*"bytes":\([0-9]*\).*/\1/')
  record heartbeat_bytes_by_workers $workers \
    "$(awk "BEGIN{print ($after-$bytes)/$SECONDS_EACH}")" bytes/s
  stop_everything
done

# Measures the takeover after the coordinator is killed: its successor waits for
# the old lease to expire, receives a heartbeat from every worker, and asks each
# for its parts.
for workers in 32 64 128 256; do
  deploy 0
  start_program proxy "$BIN/standin-proxy" --target="$(ready_value entry rpc)"
  start_program fleet "$BIN/standin-fleet" --entry="$(ready_value proxy listen)" --workers=$workers --parts=4
  wait_until 20 knows_workers $workers
  kill -KILL "$(cat "$RUN/entry.pid")"
  start=$(date +%s%3N)
  start_program entry "$BIN/baobabcove-entry" --settings="$RUN/entry.yaml"
  ENTRY=$(ready_value entry http)
  curl -s "http://$(ready_value proxy control)/target?to=$(ready_value entry rpc)" >/dev/null
  wait_until 30 knows_workers $workers
  record takeover_by_workers $workers $(($(date +%s%3N) - start)) ms
  stop_everything
done

for workspaces in 50 200 800 1600; do
  deploy 0
  before=$(field "$ENTRY" resident_kib)
  mkdir -p "$RUN/many"
  cp "$RUN/config/all.yaml" "$RUN/many/"
  for n in $(seq 1 $workspaces); do
    echo "workspaces: {w$n: {tokens: [$("$BIN/baobabctl" digest "w$n")], max_requests: 100}}"
  done | split -l 1 -a 4 --additional-suffix=.yaml - "$RUN/many/w-"
  start=$(date +%s%3N)
  "$BIN/baobabctl" --entry="$ENTRY" --token=$TOKEN config apply "$RUN/many" >/dev/null
  record apply_time_by_workspaces $workspaces $(($(date +%s%3N) - start)) ms
  sleep 1
  record entry_memory_growth_by_workspaces $workspaces \
    $(($(field "$ENTRY" resident_kib) - before)) KiB
  rm -rf "$RUN/many"
  stop_everything
done

echo
echo "Linear fits (value = base + slope * size):"
awk -F'[:,"}]+' '
  /"metric"/ { n[$3]++; x=$5; y=$7; sx[$3]+=x; sy[$3]+=y; sxx[$3]+=x*x; sxy[$3]+=x*y; u[$3]=$9 }
  END { for (m in n) if (n[m] > 1) {
    d=n[m]*sxx[m]-sx[m]*sx[m]; b=(n[m]*sxy[m]-sx[m]*sy[m])/d; a=(sy[m]-b*sx[m])/n[m];
    printf "%-45s base %10.3f slope %10.5f %s\n", m, a, b, u[m] } }' "$OUT" | sort
