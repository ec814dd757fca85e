#!/usr/bin/env bash
# A worker that has run tasks starts again under its id and gets a short task. The
# answer to its next listing is lost. The task is done, and must not be started
# again. With TROUBLE=0 the worker neither starts again nor loses an answer.
ENTRIES=2
# shellcheck source=review/lib-2.sh
. "$(dirname "$0")/../lib-2.sh"

WORKERS=8
JOB=6000000000000011
TASK="$JOB\\.0\\.0\\.0"

start_store
for n in 1 2; do start_entry "$n"; done
for n in $(seq 1 $WORKERS); do
  start_agent "$n"
  # The first worker has a rack of its own.
  start_worker "$n" "r$(((n + 4) / 3))" "i-$n" --lost_listings=1
done
sleep 4

all_completed() {
  local n
  for n in 1 2 3; do
    [ "$(state_of 600000000000000$n)" = completed ] || return 1
  done
}
STEP='"count":1,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":200,"affinity":"r1"'
for n in 1 2 3; do
  submit 600000000000000$n "{\"spec\":\"work_ms=200 gpu=1 cpu=1000\",\"steps\":[{$STEP}]}"
done
wait_for 15 all_completed || quit 2 "the deployment does not run jobs"
# The worker answers some 2.5 listings a second, so that one lost answer is less
# than 0.025 of them.
sleep 14

if [ "$TROUBLE" != 0 ]; then
  kill -HUP "${PID[worker-1]}"
  note "worker-1 starts again under its id"
  sleep 0.05
fi
submit $JOB "{\"spec\":\"work_ms=150 gpu=1 cpu=1000\",\"steps\":[{$STEP}]}"
wait_for 10 recorded "start $TASK run " || quit 2 "the task did not start"
[ "$(holder_of "$TASK" 1)" = 1 ] || quit 2 "run 1 is not on the first worker"
sleep 8
recorded "acknowledged $TASK run 1 done" ||
  quit 2 "the end of run 1 was not taken note of"
if recorded " start $TASK run [2-9] "; then
  quit 1 "TWICE broken: the task was started again after its run was done and taken note of"
fi
quit 0 "the task ran once"
