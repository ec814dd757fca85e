#!/usr/bin/env bash
# Runs the chaos test, which injects random faults into a deployment of real
# processes: chaos.sh --seed N --minutes M. The same seed selects the same
# sequence of faults.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
minutes=1
while [ $# -gt 0 ]; do
  case "$1" in
  --seed) seed="$2" ;;
  --minutes) minutes="$2" ;;
  *)
    echo "usage: scripts/chaos.sh [--seed N] [--minutes M]" >&2
    exit 2
    ;;
  esac
  shift 2
done
scripts/build.sh >/dev/null
exec env CHAOS_SEED="$seed" CHAOS_SECONDS="$((minutes * 60))" \
  build/bin/fault-tests -sg Chaos -v
