#!/usr/bin/env bash
# trouble_days.sh BENCH SITE SEED JOBS [leader]: plays each line of scenarios/troubles.txt alone, twice in a
# day, on the site's calm traffic, and prints the days on which a rule is broken. With "leader" the leader
# is killed half a second after each. BENCH is the users' program.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=${1:?BENCH}
site=${2:?SITE}
seed=${3:-1}
jobs=${4:-4}
pair=${5:-}
folder=$(mktemp -d)
models=$(awk -F'"' '/model = "llm"/ {print $2; exit}' "$site")
plain=$(awk -F'"' -v models="$models" '/^services = \[/ {on=1} on && /^  \{ name = / && $2 != models {print $2; exit}' "$site")
traffic=$(awk '/^name = "quiet-1"/ {day=1} day && /^traffic = \[/ {on=1} on {print} on && /^\]/ {exit}' "$site")

write_day() {  # FILE TABLE ENTRY
  local first="{ at = 3.0,${3#\{}" second="{ at = 14.0,${3#\{}"
  local plan="" faults="" kill='kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader" }'
  if [ "$2" = plan ]; then plan="$first, $second"; else faults="$first, $second"; fi
  if [ "$pair" = leader ]; then faults="${faults:+$faults, }{ at = 3.5, $kill, { at = 14.5, $kill"; fi
  {
    echo '[[day]]'
    echo "name = \"own\"
slot = \"trouble\"
seed = $seed
closing = { kind = \"kill_all\", down_s = 1.2 }
one = 0.8
zero = 0.1
goal = { floor = 0.05 }
labels = []
wall = 4.0
light = false
plan = [ $plan ]
faults = [ $faults ]
$traffic"
  } >"$1"
}

play() {  # NUMBER LABEL
  local out="$folder/$1.out"
  "$bench" run "$site" "$folder/$1.toml" --seed "$seed" --jobs 1 \
    --why "each kind of trouble twice, ${pair:-alone}: $2" >"$out" 2>&1
  if grep -q BROKEN "$out"; then
    echo "BROKEN $2: $(grep -oE 'BROKEN: .*' "$out" | head -1)"
    grep -A7 -E '^[A-Z]+ at ' "$out" | head -9
  elif ! grep -q '^day ' "$out"; then
    echo "NOT PLAYED $2: $(head -3 "$out" | tr '\n' ' ')"
  else
    echo "kept $2: $(grep -oE '^own .*' "$out" | awk '{print "worth " $4 " served " $5}')"
  fi
}

number=0
while read -r table entry; do
  case $table in '#'* | '') continue ;; esac
  entry=${entry//MODELS/$models}
  entry=${entry//PLAIN/$plain}
  number=$((number + 1))
  write_day "$folder/$number.toml" "$table" "$entry"
  play "$number" "$entry" &
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
done <scenarios/troubles.txt
wait
rm -rf "$folder"
