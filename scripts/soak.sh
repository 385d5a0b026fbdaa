#!/usr/bin/env bash
# Runs a whole deployment on loopback under a scenario's load while faults come and go, then
# compares every answer and the back ends' own record. Bounded in time. A failed run keeps its logs.
# Usage: scripts/soak.sh DEPLOYMENT [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-hrdlicka}
seconds=${2:-150}
bin=build/release/src
run=$(mktemp -d)
declare -A pids
stop() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ "${finished:-0}" = 1 ]; then rm -rf "$run"; else echo "soak: logs are kept in $run" >&2; fi
}
trap stop EXIT
await() { for _ in $(seq 200); do [ -s "$1" ] && return; sleep 0.05; done; echo "soak: no $1" >&2; exit 1; }

"$bin/moorfold-standin" --deployment "deployments/$deployment.yaml" --intent "intents/$deployment.yaml" \
  --load-speedup 10 --endpoints-file "$run/endpoints" 2>"$run/standin.log" &
pids[standin]=$!
await "$run/endpoints"
# shellcheck disable=SC1091
source "$run/endpoints"
fault() { curl -fsS -X POST -d "$1" "http://$MACHINE_LIST/admin/faults" >/dev/null || true; }
start() { # zone index: a daemon with its own fixed ports after its first start
  local name="$1-daemon-$2" ports=()
  if [ -s "$run/$name.json" ]; then
    ports=(--listen "127.0.0.1:$(sed -E 's/.*"http_port":([0-9]+).*/\1/' "$run/$name.json")"
      --peer-listen "127.0.0.1:$(sed -E 's/.*"peer_port":([0-9]+).*/\1/' "$run/$name.json")")
  fi
  "$bin/moorfold" serve --settings "settings/$deployment/$1.yaml" --name "$name" --key-value "$KEY_VALUE" \
    --machine-list "$MACHINE_LIST" "${ports[@]}" --ready-file "$run/$name.json" 2>>"$run/$name.log" &
  pids[$name]=$!
}
restart() { # zone index signal: only once the one before has ended are its addresses free.
  local pid=${pids[$1-daemon-$2]}
  kill "-$3" "$pid"
  wait "$pid" 2>/dev/null || true
  start "$1" "$2"
}
zones=()
servers=()
for settings in "settings/$deployment"/*.yaml; do zones+=("$(basename "$settings" .yaml)"); done
for zone in "${zones[@]}"; do start "$zone" 0; start "$zone" 1; done
for zone in "${zones[@]}"; do
  for index in 0 1; do
    ready="$run/$zone-daemon-$index.json"
    await "$ready"
    curl -fsS -X POST --data @"$ready" "http://$MACHINE_LIST/admin/machines" >/dev/null
    servers+=(--server "127.0.0.1:$(sed -E 's/.*"http_port":([0-9]+).*/\1/' "$ready")")
  done
done
"$bin/moorfold" plan --intent "intents/$deployment.yaml" "${servers[@]:0:2}" >"$run/plan"
"$bin/moorfold" confirm "$(sed -nE '1s/^plan ([0-9a-f]+),.*/\1/p' "$run/plan")" "${servers[@]:0:2}"
sleep 12 # Ledgers and claim owners settle.

"$bin/moorfold" load --scenario "scenarios/$deployment.yaml" "${servers[@]}" --back-ends "$MACHINE_LIST" \
  --start-hour 9 --speedup 20 --duration "$seconds" >"$run/result" 2>/dev/null &
load=$!
zone=${zones[0]}
end=$((SECONDS + seconds - 25))
while [ $SECONDS -lt $end ] && kill -0 $load 2>/dev/null; do
  fault '{"component":"key_value","down":true}'; sleep 4
  restart "$zone" 0 KILL; sleep 3
  fault '{"component":"key_value","down":false,"lost_answers":1}'; sleep 2
  fault "{\"component\":\"engine\",\"name\":\"$zone-engine-0\",\"action\":\"kill\"}"; sleep 1
  fault "{\"component\":\"engine\",\"name\":\"$zone-engine-0\",\"action\":\"restart\"}"
  fault "{\"component\":\"engine\",\"name\":\"$zone-engine-1\",\"cut_streams\":2,\"abort_loads\":1,\"lost_answers\":1}"
  kill -STOP "${pids[$zone-daemon-1]}"; sleep 3; kill -CONT "${pids[$zone-daemon-1]}"; sleep 2
  fault '{"component":"weight_store","slowdown":5}'; sleep 3; fault '{"component":"weight_store","slowdown":1}'
  restart "${zones[1]}" 1 TERM; sleep 2
done
code=0
wait $load || code=$?
cat "$run/result"
[ "$code" = 0 ] && finished=1
exit $code
