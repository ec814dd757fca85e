#!/usr/bin/env bash
# A key is taken away; calls with it go on to a route that is open to calls
# without a key.
set -uo pipefail
HERE="$(cd "$(dirname "$0")" && pwd)"
# shellcheck source=review/lib-3.sh
. "$HERE/../lib-3.sh"

OPEN='{"name":"open","host":"jobs.example","prefix":"/open/","service":"planner",
  "priority":1,"max_attempts":3,"stretch":3.0,"target_latency_ms":1200,
  "allow_anonymous":true},'
start_deployment "$(config 1 "$OPEN")"
client POST 0 /open/00000000000000a1 "$JOB" k2
client POST 0 /queue/00000000000000a2 "$JOB" k2
KEYS=''
[ "${TROUBLE:-1}" = 0 ] && KEYS='"k2"'
put op/config "$(config 2 "$OPEN" "$KEYS")"
record "version 2 acknowledged, keys of t2: ${KEYS:-none}"
# bounds.revoke_ms is 5,000.
sleep 7
client POST 1 /queue/00000000000000b1 "$JOB" k2
ONLY_KEYS=$STATUS
client POST 1 /open/00000000000000b2 "$JOB" k2
OPEN_TO_ALL=$STATUS
sleep 3
record "starts: $(starts_of 00000000000000b1) of the job on /queue/, $(starts_of 00000000000000b2) of the job on /open/"
if [ "${TROUBLE:-1}" = 0 ]; then
  [ "$ONLY_KEYS$OPEN_TO_ALL" = 200200 ] && finish 0
  cannot_run "calls with a valid key are refused"
fi
[ "$OPEN_TO_ALL" = 200 ] && [ "$(starts_of 00000000000000b2)" -gt 0 ] && finish 1
finish 0
