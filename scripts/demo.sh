#!/usr/bin/env bash
# Runs one deployment whole on loopback: the stand-in platform and two daemons in every zone;
# states its intent, confirms the plan, sends cold and warm requests, prints a table, and stops.
# Usage: scripts/demo.sh [DEPLOYMENT]   KEEP=1 leaves it running.
set -euo pipefail

deployment=${1:-hrdlicka}
build=${BUILD_DIR:-build/release}
speedup=${LOAD_SPEEDUP:-10}
run=$(mktemp -d)
pids=()

stop() {
  if ((${#pids[@]})); then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$run"
}
trap stop EXIT

await_file() {
  for _ in $(seq 200); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "demo: $1 did not appear; see $run/*.log" >&2
  cat "$run"/*.log >&2
  return 1
}

"$build/src/moorfold-standin" --deployment "deployments/$deployment.yaml" \
  --intent "intents/$deployment.yaml" --load-speedup "$speedup" \
  --endpoints-file "$run/endpoints" 2>"$run/standin.log" &
pids+=($!)
await_file "$run/endpoints"
# shellcheck disable=SC1091
source "$run/endpoints"

servers=()
for settings in "settings/$deployment"/*.yaml; do
  zone=$(basename "$settings" .yaml)
  for index in 0 1; do
    name="$zone-daemon-$index"
    "$build/src/moorfold" serve --settings "$settings" --name "$name" --key-value "$KEY_VALUE" \
      --machine-list "$MACHINE_LIST" --ready-file "$run/$name.json" 2>"$run/$name.log" &
    pids+=($!)
  done
done
for settings in "settings/$deployment"/*.yaml; do
  zone=$(basename "$settings" .yaml)
  for index in 0 1; do
    ready="$run/$zone-daemon-$index.json"
    await_file "$ready"
    curl -fsS -X POST --data @"$ready" "http://$MACHINE_LIST/admin/machines" >/dev/null
    servers+=("127.0.0.1:$(sed -E 's/.*"http_port":([0-9]+).*/\1/' "$ready")")
  done
done

echo "deployment $deployment: ${#servers[@]} daemons, load times of deployments/$deployment.yaml divided by $speedup"
"$build/src/moorfold" plan --intent "intents/$deployment.yaml" --server "${servers[0]}" >"$run/plan"
head -4 "$run/plan"
echo "  ... $(grep -c '^  [+~-]' "$run/plan") changes in all"
plan_id=$(sed -nE '1s/^plan ([0-9a-f]+),.*/\1/p' "$run/plan")
"$build/src/moorfold" confirm "$plan_id" --server "${servers[1]}"

"$build/src/moorfold" load --quick --intent "intents/$deployment.yaml" \
  $(printf -- '--server %s ' "${servers[@]}")

for server in "${servers[@]}"; do
  "$build/src/moorfold" status --server "$server" | head -1
done
if [ "${KEEP:-0}" = 1 ]; then
  echo
  echo "left running; try:"
  echo "  $build/src/moorfold status --server ${servers[0]}"
  echo "  curl -N http://${servers[0]}/v1/models"
  echo "  curl -X POST -d '{\"component\":\"key_value\",\"down\":true}' http://$MACHINE_LIST/admin/faults"
  echo "  kill ${pids[*]}   # stops everything"
  trap - EXIT
fi
