#!/usr/bin/env bash
# A worker crashes and starts again at once under its id. The task that it gets
# next is running when the worker is cut off.
set -uo pipefail
HERE="$(cd "$(dirname "$0")" && pwd)"
# shellcheck source=review/lib-3.sh
. "$HERE/../lib-3.sh"

FILLER='{"spec":"9000 8","steps":[{"count":7,"cpu":1000,"mem_mb":100,"gpu":8,"estimate_ms":9000}]}'
LONG='{"spec":"25000 8","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":8,"estimate_ms":25000}]}'
URGENT='{"name":"urgent","host":"jobs.example","prefix":"/urgent/",
  "service":"planner","priority":0,"max_attempts":3,"stretch":3.0,
  "target_latency_ms":1200},'
start_deployment "$(config 1 "$URGENT")"
# Leaves one worker free.
client POST 0 /queue/00000000000000f1 "$FILLER" k1
sleep 2
FREE=''
for each in "${WORKERS[@]}"; do
  grep -q " start 00000000000000f1\..* i-$each\$" "$RUN/runs.txt" || FREE="$FREE$each"
done
[ "${#FREE}" = 1 ] || cannot_run "workers without a task: $FREE"
PID="PID_worker$FREE"
if [ "${TROUBLE:-1}" != 0 ]; then
  kill -KILL "${!PID}"
  start_worker "$FREE"
  record "worker i-$FREE killed and started again under its id"
fi
sleep 0.4
client POST 0 /urgent/00000000000000a1 "$LONG" k1
for _ in {1..20}; do
  sleep 0.1
  [ "$(starts_of 00000000000000a1)" -gt 0 ] && break
done
grep -q " start 00000000000000a1\..* i-$FREE\$" "$RUN/runs.txt" || cannot_run "the task did not start on worker i-$FREE"
if [ "${TROUBLE:-1}" != 0 ]; then
  kill -USR1 "${!PID}"
  record "worker i-$FREE cut off"
fi
sleep 10
[ "${TROUBLE:-1}" != 0 ] && kill -USR2 "${!PID}"
record "the cut has ended"
sleep 3
# Two runs of the task at the same time, by the workers' journal.
awk '$3 ~ /^00000000000000a1\./ {
       if ($2 == "start") { if (open > 0) twice = 1; ++open } else --open
     } END { exit twice ? 1 : 0 }' "$RUN/runs.txt" || finish 1
finish 0
