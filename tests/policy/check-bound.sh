#!/usr/bin/env bash
# Reads a measure of the packing policy over 20 seeds, or its ratio to that of
# first fit, and fails when the figure is above the bound.
# usage: check-bound.sh BENCH DEPLOYMENT LOAD ratio|value MEASURE BOUND
set -euo pipefail
bench="$1"
deployment="$2"
load="$3"
kind="$4"
measure="$5"
bound="$6"
flags=(--deployment="$deployment" --load="$load" --seeds=20)
if [ "$kind" = ratio ]; then
  line=$("$bench" "${flags[@]}" --compare=packing,first-fit | tail -n 1)
else
  line=$("$bench" "${flags[@]}")
fi
figure=$(echo "$line" | sed -n "s/.*\"$measure\":\([0-9.e+-]*\).*/\1/p")
[ -n "$figure" ] || figure=0
echo "$deployment, load $load, 20 seeds: $kind of $measure is $figure, bound $bound"
awk "BEGIN{exit !($figure <= $bound)}"
