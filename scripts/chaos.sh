#!/usr/bin/env bash
# Runs the chaos test, which injects overlapping random faults into a deployment
# of real processes, with one seed after another: chaos.sh --seed N --seeds COUNT
# --seconds S --scale K. The same seed selects the same series of faults; the
# deployment has 20 processes times the scale. Fails when any seed failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seeds=1
seconds=60
scale=1
while [ $# -gt 0 ]; do
  case "$1" in
  --seed) seed="$2" ;;
  --seeds) seeds="$2" ;;
  --seconds) seconds="$2" ;;
  --minutes) seconds=$((60 * $2)) ;;
  --scale) scale="$2" ;;
  *)
    echo "usage: scripts/chaos.sh [--seed N] [--seeds COUNT] [--seconds S |" \
      "--minutes M] [--scale K]" >&2
    exit 2
    ;;
  esac
  shift 2
done
scripts/build.sh >/dev/null
failed=()
for ((each = seed; each < seed + seeds; ++each)); do
  echo "seed $each, $seconds s, scale $scale"
  CHAOS_SEED="$each" CHAOS_SECONDS="$seconds" CHAOS_SCALE="$scale" \
    build/bin/fault-tests -sg Chaos -v || failed+=("$each")
done
if [ ${#failed[@]} -gt 0 ]; then
  echo "Failed seeds: ${failed[*]}"
  exit 1
fi
