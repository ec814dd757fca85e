#!/usr/bin/env bash
# A client hands in a timed job whose steps have no tasks, to be repeated very
# often. Jobs that other clients hand in afterwards must still run: all workers
# are free. With TROUBLE=0 that job is not handed in.
ENTRIES=2
# shellcheck source=review/lib-2.sh
. "$(dirname "$0")/../lib-2.sh"

EMPTY=7000000000000001
STEP_COUNT=100
CALM_S=20

start_store
for n in 1 2; do start_entry "$n"; done
for n in 1 2 3; do
  start_agent "$n"
  start_worker "$n" r1 "i-$n"
done
sleep 4

all_completed() {
  local id
  for id in "$@"; do
    [ "$(state_of "$id")" = completed ] || return 1
  done
}
BODY='{"spec":"work_ms=500 gpu=1 cpu=1000","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"gpu":1,"estimate_ms":500}]}'
# Twenty ordinary jobs, so that the one without tasks is a share of 0.048.
EARLIER=$(seq -f '71%014.0f' 1 17)
for id in $EARLIER; do submit "$id" "$BODY"; done
# shellcheck disable=SC2086
wait_for 20 all_completed $EARLIER || quit 2 "the deployment does not run jobs"

if [ "$TROUBLE" != 0 ]; then
  STEPS='{"cpu":1000}'
  for _ in $(seq 2 $STEP_COUNT); do STEPS="$STEPS,{\"cpu\":1000}"; done
  ask 1 POST $EMPTY "{\"spec\":\"(text)\",\"steps\":[$STEPS],\"repeat_count\":4000000000,\"interval_ms\":60000}" |
    grep -q '^200' || quit 0 "the job without tasks is refused"
  sleep 1
fi
LATER="7000000000000003 7000000000000004 7000000000000005"
for id in $LATER; do submit "$id" "$BODY"; done
# shellcheck disable=SC2086
wait_for $CALM_S all_completed $LATER && quit 0 "all later jobs are completed"
STARTS=$(grep -cE "start 700000000000000[345]\\." "$RECORD")
quit 1 "LOST broken: $CALM_S s after they were accepted, the later jobs are not completed; $STARTS of their 6 tasks have started"
