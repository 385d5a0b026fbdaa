#!/usr/bin/env bash
# Regenerates the tables of docs/EXPERIMENTS.md: each policy against the others on both figures.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-5}
for scenario in hrdlicka carpatica; do
  for shift in 0 3; do
    echo
    echo "### $scenario, two days to learn, one measured, demand shifted by $shift h, $seeds seeds"
    echo
    build/release/src/moorfold experiment --scenario "scenarios/$scenario.yaml" --seeds "$seeds" --seed 101 \
      --set warmup=48h --set "shift_hours=$shift" --set changes_per_hour=0 \
      --vary policy=fixed_keep_alive,on_demand,histogram_keep_alive,cost_aware
  done
  echo
  echo "### $scenario, fixed keep-alive of several lengths, $seeds seeds"
  echo
  build/release/src/moorfold experiment --scenario "scenarios/$scenario.yaml" --seeds "$seeds" --seed 101 \
    --set warmup=48h --set changes_per_hour=0 --set policy=fixed_keep_alive --vary keep_alive=1m,5m,20m,60m,240m
  echo
  echo "### $scenario, price of a cold second (cost_aware), $seeds seeds"
  echo
  build/release/src/moorfold experiment --scenario "scenarios/$scenario.yaml" --seeds "$seeds" --seed 101 \
    --set warmup=48h --set changes_per_hour=0 --vary cost_scale=0.25,1,4,16
done
