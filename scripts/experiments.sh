#!/usr/bin/env bash
# Regenerates the tables of docs/EXPERIMENTS.md: each policy against the others on both figures.
# SEEDS, WARMUP and SECTIONS (policies keep_alive price shifted) choose how much of it.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-5}
warmup=${WARMUP:-48h}
sections=${SECTIONS:-policies keep_alive price shifted}

table() { # scenario, title, then flags of `moorfold experiment`
  local scenario=$1 title=$2
  shift 2
  printf '\n### %s: %s\n\nMeasured on one day after %s of learning, %s seeds from 101.\n\n' "$scenario" "$title" "$warmup" "$seeds"
  build/release/src/moorfold experiment --scenario "scenarios/$scenario.yaml" --seeds "$seeds" --seed 101 \
    --set "warmup=$warmup" --set changes_per_hour=0 "$@"
}

for scenario in hrdlicka carpatica; do
  for section in $sections; do
    case $section in
      policies) table $scenario "policies" --vary policy=fixed_keep_alive,on_demand,histogram_keep_alive,cost_aware ;;
      keep_alive) table $scenario "fixed keep-alive of several lengths" --set policy=fixed_keep_alive --vary keep_alive=1m,5m,20m,60m,240m ;;
      price) table $scenario "price of a cold second (cost_aware)" --vary cost_scale=0.25,1,4,16 ;;
      shifted) table $scenario "policies, demand shifted by 3 hours" --set shift_hours=3 --vary policy=fixed_keep_alive,on_demand,histogram_keep_alive,cost_aware ;;
    esac
  done
done
