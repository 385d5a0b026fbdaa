#!/usr/bin/env bash
# explain_failures.sh BENCH SITE DAY [SEED]: plays a day and looks in the gateways' logs for each
# request that the day's report names as not served. Prints how many of how many are explained by
# their id, and how many by the end of the daemon that had them. BENCH is the users' program.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=${1:?BENCH}
site=${2:?SITE}
day=${3:?DAY}
seed=${4:-}
explain=build/release/src/moorfold
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

"$bench" run "$site" "$day" ${seed:+--seed "$seed"} --log all --report "$folder/report.json" \
  --why "how many failed requests the logs explain: $day" >"$folder/run.txt" 2>&1
# "TIME MACHINE t_us=... event=...": one log for each machine.
awk -v folder="$folder" '$3 ~ /^t_us=/ { out = folder "/" $2 ".log"; sub(/^ *[-0-9.]+ [^ ]+ /, ""); print >out }' \
  "$folder/run.txt"
# The report names the first request of each way of not being served, and where it was sent.
grep -oE 'request [0-9a-f]{16} \([^)]*\) sent to [a-z0-9-]+' "$folder/report.json" |
  awk '{ print $2, $NF }' | sort -u >"$folder/requests.txt"

by_id=0
by_daemon=0
unknown=0
while read -r id machine; do
  if "$explain" explain --request "$id" "$folder"/*.log >"$folder/told.txt" 2>/dev/null; then
    by_id=$((by_id + 1))
    echo "$id: $(grep -E 'request: event=(request_end|attempt_failed)|  then:' "$folder/told.txt" | tail -1)"
  elif awk '/event=stopped/ {stopped=1} /event=start / {if (seen && !stopped) killed=1; seen=1; stopped=0}
            END {exit !killed}' "$folder/$machine.log" 2>/dev/null; then
    by_daemon=$((by_daemon + 1))
    echo "$id: not in a log; $machine ended without a word that day"
  else
    unknown=$((unknown + 1))
    echo "$id: not in a log; $machine had no end of its own that day"
  fi
done <"$folder/requests.txt"
echo "$day: $(wc -l <"$folder/requests.txt") requests named; $by_id explained by id, $by_daemon by the end of their daemon, $unknown not"
