#!/usr/bin/env bash
# Runs the soak of the task daemons with one seed after another: task-soak.sh
# --seed N --seeds COUNT --seconds S --agents N --entries N --logs FOLDER
# --late-starts-reach-next-life. The same seed selects the same series of faults. Of
# failed seeds, the logs of all processes and the events that the workers saw
# (seed-N-fleet) are kept in the folder. Fails when any seed failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seeds=1
test=RunsEveryAcceptedJobAfterRandomFaults
while [ $# -gt 0 ]; do
  case "$1" in
  --seed) seed="$2" ;;
  --seeds) seeds="$2" ;;
  --late-starts-reach-next-life)
    test=RunsNothingTwiceWhenLateStartsReachTheNextLife
    shift
    continue
    ;;
  --seconds) export TASK_SOAK_SECONDS="$2" ;;
  --agents) export TASK_SOAK_AGENTS="$2" ;;
  --entries) export TASK_SOAK_ENTRIES="$2" ;;
  --logs) export TASK_SOAK_LOGS="$2" ;;
  *)
    echo "usage: scripts/task-soak.sh [--seed N] [--seeds COUNT] [--seconds S]" \
      "[--agents N] [--entries N] [--logs FOLDER]" \
      "[--late-starts-reach-next-life]" >&2
    exit 2
    ;;
  esac
  shift 2
done
[ -z "${TASK_SOAK_LOGS:-}" ] || mkdir -p "$TASK_SOAK_LOGS"
scripts/build.sh >/dev/null
failed=()
for ((each = seed; each < seed + seeds; ++each)); do
  TASK_SOAK_SEED="$each" build/bin/fault-tests -sg TaskSoak -sn "$test" -v || failed+=("$each")
done
if [ ${#failed[@]} -gt 0 ]; then
  echo "Failed seeds: ${failed[*]}"
  exit 1
fi
