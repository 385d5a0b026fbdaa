#!/usr/bin/env bash
# soak_faults.sh SEED SECONDS: three gateways as processes against the emulated platform, with faults
# from outside: proxies, a store that misbehaves, signals. Ends only what it started. A failed run
# keeps its folder with all logs.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:?SEED}
length=${2:?SECONDS}
gateways=3
folder=$(mktemp -d "${TMPDIR:-/tmp}/moorfold-soak-$seed.XXXX")
# Copies: a build meanwhile must not change the programs, nor keep them from being started.
cp build/release/platform/moorfold-gateway build/release/test/moorfold-emulator "$folder"
declare -a pids

start_gateway() {  # NUMBER
  "$folder/moorfold-gateway" --settings "$folder/gateway-$1.yaml" \
    >>"$folder/gateway-$1.log" 2>&1 &
  pids[$1]=$!
}
alive() { kill -0 "$1" 2>/dev/null; }
restart_gateway() {  # NUMBER: the one before must have ended, or its ports are still taken.
  wait "${pids[$1]}" 2>/dev/null
  start_gateway "$1"
}

"$folder/moorfold-emulator" --seed "$seed" --seconds "$length" --gateways $gateways \
  --folder "$folder" >"$folder/emulator.log" 2>&1 &
emulator=$!
for _ in $(seq 100); do
  grep -q event=ready "$folder/emulator.log" && break
  sleep 0.1
done
for number in $(seq 0 $((gateways - 1))); do start_gateway "$number"; done

began=$(date +%s.%N)
"$folder/moorfold-emulator" --seed "$seed" --seconds "$length" --gateways $gateways \
  --print-signals >"$folder/signals.txt"
while read -r at kind number duration; do
  now=$(date +%s.%N)
  sleep "$(awk -v at="$at" -v began="$began" -v now="$now" 'BEGIN{d=at-(now-began); print (d>0)?d:0}')"
  echo "event=signal kind=$kind gateway=$number" >>"$folder/signals.log"
  case $kind in
    term) kill -TERM "${pids[$number]}"; restart_gateway "$number" ;;
    kill) kill -KILL "${pids[$number]}"; sleep 0.5; restart_gateway "$number" ;;
    kill_all)
      for each in "${pids[@]}"; do kill -KILL "$each"; done
      sleep "$duration"
      for each in "${!pids[@]}"; do restart_gateway "$each"; done
      ;;
    pause) kill -STOP "${pids[$number]}"; sleep "$duration"; kill -CONT "${pids[$number]}" ;;
  esac
done <"$folder/signals.txt"
wait "$emulator"
status=$?
for number in $(seq 0 $((gateways - 1))); do
  if ! alive "${pids[$number]}"; then
    echo "event=violation seed=$seed what=\"gateway-$number ended by itself\"" >>"$folder/emulator.log"
    status=1
  fi
  kill -TERM "${pids[$number]}" 2>/dev/null
done
wait
grep -E 'event=(soak|violation)' "$folder/emulator.log"
if [ "$status" -ne 0 ]; then
  echo "seed $seed failed; its logs are kept in $folder"
  exit 1
fi
rm -rf "$folder"
