#!/usr/bin/env bash
# run_case.sh PROGRAM CASE_FOLDER [GATEWAYS]: plays one case with gateways as the deploy file runs them.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Ends only what it started.
set -uo pipefail
program=$1
case_folder=$(cd "$2" && pwd)
gateways=${3:-1}
cd "$(dirname "$0")/../.."
record=$case_folder/record.txt
: >"$record"
if [ ! -x target/platform/moorfold-gateway ] || [ ! -x "review/out/$program" ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh" | tee "$record"
  exit 2
fi
folder=$(mktemp -d)
declare -a gateway_pids=()
"review/out/$program" "$folder" "$record" "${TROUBLE:-1}" >"$folder/standin.log" 2>&1 &
standin=$!
end_all() {
  for pid in ${gateway_pids[@]+"${gateway_pids[@]}"}; do kill -KILL "$pid" 2>/dev/null; done
  kill -KILL "$standin" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$folder"
}
trap end_all EXIT
for _ in $(seq 100); do
  [ -e "$folder/ready" ] && break
  kill -0 "$standin" 2>/dev/null || break
  sleep 0.1
done
if [ ! -e "$folder/ready" ]; then
  cat "$folder/standin.log" >>"$record"
  exit 2
fi
for number in $(seq 0 $((gateways - 1))); do
  MOORFOLD_SETTINGS="$folder/gateway-$number.yaml" target/platform/moorfold-gateway \
    >"$folder/gateway-$number.log" 2>&1 &
  gateway_pids+=($!)
  echo $! >"$folder/gateway-$number.pid"
done
waited=0
while kill -0 "$standin" 2>/dev/null && [ "$waited" -lt 1100 ]; do
  sleep 0.1
  waited=$((waited + 1))
done
if kill -0 "$standin" 2>/dev/null; then
  echo "the stand-in did not end in time" >>"$record"
  exit 2
fi
wait "$standin"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
