#!/usr/bin/env bash
# soak_faults.sh SEED SECONDS [GATEWAYS]: gateways (three) as processes against the emulated platform, with faults
# from outside: proxies, a store that misbehaves, signals. Ends only what it started. A failed run
# keeps its folder with all logs; with KEEP_LOGS=1 so does any run.
# PRODUCTION=COMMIT begins with gateways of that build; each that is started again is of this one. The
# build is made once, outside the tree.
# QUARANTINE_SERVERS=0 plays without the quarantine of requests under which servers end.
# REFUSALS=N plays servers that refuse early, refuse twice and lose answers, N of each service, and checks
# that each promise "not run" has a line with the request's ID in its gateway's log.
# VERSIONS=N plays streams that clients take up while servers of two software versions serve, N of each.
# STALLED_LOG=NUMBER leaves the log of that gateway unread until the end.
# BUILD=COMMIT plays with gateways of that build only.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:?SEED}
length=${2:?SECONDS}
gateways=${3:-3}
folder=$(mktemp -d "${TMPDIR:-/tmp}/moorfold-soak-$seed.XXXX")
# Copies: a build meanwhile must not change the programs, nor keep them from being started.
cp build/release/platform/moorfold-gateway build/release/test/moorfold-emulator "$folder"
declare -a pids
gateway_of() {  # COMMIT: prints the path of that build's gateway
  local built="${XDG_CACHE_HOME:-$HOME/.cache}/moorfold-builds/$1"
  if [ ! -x "$built/build/platform/moorfold-gateway" ]; then
    mkdir -p "$built"
    git archive "$1" | tar -x -C "$built"
    cmake -S "$built" -B "$built/build" -G Ninja -DCMAKE_BUILD_TYPE=Release -DMOORFOLD_ONLY_GATEWAY=ON >/dev/null
    cmake --build "$built/build" >/dev/null
  fi
  echo "$built/build/platform/moorfold-gateway"
}
production=${PRODUCTION:-}
[ -n "$production" ] && cp "$(gateway_of "$production")" "$folder/moorfold-gateway-before"
[ -n "${BUILD:-}" ] && cp "$(gateway_of "$BUILD")" "$folder/moorfold-gateway"
# Which program each gateway runs, and since when all run this build's.
declare -A programs
replaced=0
two_builds_since=""
two_builds_until=""
note_builds() {  # NOW
  [ -n "$production" ] || return 0
  local before=0 number
  for number in "${!programs[@]}"; do
    [ "${programs[$number]}" = moorfold-gateway-before ] && before=$((before + 1))
  done
  [ "$replaced" -gt 0 ] && [ -z "$two_builds_since" ] && two_builds_since=$1
  [ "$before" -eq 0 ] && [ -z "$two_builds_until" ] && two_builds_until=$1
  return 0
}

if [ -n "${STALLED_LOG:-}" ]; then
  mkfifo "$folder/stalled"
  exec 4<>"$folder/stalled"
fi

start_gateway() {  # NUMBER
  local program=moorfold-gateway output="$folder/gateway-$1.log"
  [ "$1" = "${STALLED_LOG:-}" ] && output=$folder/stalled
  if [ -n "$production" ] && [ -z "${programs[$1]:-}" ]; then
    program=moorfold-gateway-before
  elif [ "${programs[$1]:-}" = moorfold-gateway-before ]; then
    replaced=$((replaced + 1))
  fi
  programs[$1]=$program
  "$folder/$program" --settings "$folder/gateway-$1.yaml" \
    >>"$output" 2>&1 &
  pids[$1]=$!
}
alive() { kill -0 "$1" 2>/dev/null; }
# Of gateways that are to be started again once their processes have ended, or their ports are still
# taken: when that is.
declare -A restarts
# Of gateways that have ended though no signal ended them: when that was seen.
declare -A ended
note_ended() {  # NOW
  for each in "${!pids[@]}"; do
    [ -n "${restarts[$each]:-}${ended[$each]:-}" ] && continue
    alive "${pids[$each]}" && continue
    ended[$each]=$1
    echo "event=violation seed=$seed at=$1 what=\"gateway-$each ended by itself\"" >>"$folder/ended.log"
    tail -n 3 "$folder/gateway-$each.log" | sed "s/^/gateway-$each: /" >>"$folder/ended.log"
  done
}
# Of gateways that stand still: when they go on.
declare -A wakes

before() { awk -v a="$1" -v b="$2" 'BEGIN{exit !(a < b)}'; }
plus() { awk -v a="$1" -v b="$2" 'BEGIN{print a+b}'; }

send() {  # KIND NUMBER DURATION NOW
  local pid=${pids[$2]}
  case $1 in
    term) kill -TERM "$pid" 2>/dev/null; restarts[$2]=$4 ;;
    kill) kill -KILL "$pid" 2>/dev/null; restarts[$2]=$(plus "$4" 0.5) ;;
    pause) kill -STOP "$pid" 2>/dev/null; wakes[$2]=$(plus "$4" "$3") ;;
    hup) kill -HUP "$pid" 2>/dev/null ;;
    kill_all)
      for each in "${!pids[@]}"; do
        kill -KILL "${pids[$each]}" 2>/dev/null
        unset "wakes[$each]"
        restarts[$each]=$(plus "$4" "$3")
      done
      ;;
  esac
}
# Signals come in series and overlap, so what follows each is done when it is due.
follow_up() {  # NOW
  for each in "${!wakes[@]}"; do
    before "$1" "${wakes[$each]}" && continue
    kill -CONT "${pids[$each]}" 2>/dev/null
    unset "wakes[$each]"
  done
  for each in "${!restarts[@]}"; do
    before "$1" "${restarts[$each]}" && continue
    alive "${pids[$each]}" && continue
    wait "${pids[$each]}" 2>/dev/null
    start_gateway "$each"
    note_builds "$1"
    unset "restarts[$each]"
  done
}

polling=0.1
[ -n "${VERSIONS:-}" ] && polling=0.01
# Builds before this one need not know of relays.
relays=--relays
[ -n "$production" ] && relays=
"$folder/moorfold-emulator" --seed "$seed" --seconds "$length" --gateways $gateways $relays \
  --refusals "${REFUSALS:-0}" --versions "${VERSIONS:-0}" --quarantine-servers "${QUARANTINE_SERVERS:-3}" --folder "$folder" >"$folder/emulator.log" 2>&1 &
emulator=$!
for _ in $(seq 100); do
  grep -q event=ready "$folder/emulator.log" && break
  sleep 0.1
done
for number in $(seq 0 $((gateways - 1))); do start_gateway "$number"; done

began=$(date +%s.%N)
"$folder/moorfold-emulator" --seed "$seed" --seconds "$length" --gateways $gateways \
  --versions "${VERSIONS:-0}" --print-signals >"$folder/signals.txt"
elapsed() { awk -v began="$began" -v now="$(date +%s.%N)" 'BEGIN{print now-began}'; }
exec 3<"$folder/signals.txt"
pending=$(head -c 1 "$folder/signals.txt")
[ -n "$pending" ] && read -r at kind number duration <&3
while alive "$emulator"; do
  now=$(elapsed)
  while [ -n "$pending" ] && ! before "$now" "$at"; do
    echo "event=signal at=$now kind=$kind gateway=$number" >>"$folder/signals.log"
    send "$kind" "$number" "$duration" "$now"
    read -r at kind number duration <&3 || pending=""
  done
  follow_up "$now"
  note_ended "$now"
  sleep "$polling"
done
exec 3<&-
wait "$emulator"
status=$?
now=$(elapsed)
note_ended "$now"
for number in "${!restarts[@]}"; do
  echo "event=violation seed=$seed at=$now what=\"gateway-$number did not end after its signal\"" >>"$folder/ended.log"
done
if [ -s "$folder/ended.log" ]; then
  cat "$folder/ended.log" >>"$folder/emulator.log"
  status=1
fi
for number in $(seq 0 $((gateways - 1))); do kill -TERM "${pids[$number]}" 2>/dev/null; done
wait
grep -E 'event=(soak|violation)|^crashing (requests|parts)|^tenants:|^drills:|^limits:|^cuts from servers|^versions:|^take-ups:|^gateway-[0-9]+:' "$folder/emulator.log"
requests_by_pool() {
  cat "$folder"/gateway-*.log | grep "event=request_end .*work=$1" | grep -c "pool=$2"
}
check_separation() {
  local paced long_prompts
  paced=$(requests_by_pool paced own)
  long_prompts=$(requests_by_pool long_prompt own)
  echo "separation: paced $paced (other pool $(requests_by_pool paced other)), long prompts $long_prompts (other pool $(requests_by_pool long_prompt other))"
  if [ -n "$production" ] || { [ "$paced" -gt 0 ] && [ "$long_prompts" -gt 0 ]; }; then return; fi
  echo "no request was placed by separation"
  status=1
}
check_promises() {
  local without_line=0 id number promised
  [ -n "${STALLED_LOG:-}" ] && timeout 1 cat <&4 >"$folder/gateway-$STALLED_LOG.log"
  while read -r id number promised; do
    grep -qs "event=request_end id=$id .*status=$promised" "$folder/gateway-$number.log" && continue
    without_line=$((without_line + 1))
    echo "no line: $id status=$promised gateway-$number" >>"$folder/without-line.log"
  done <"$folder/promised.txt"
  echo "promises: $(wc -l <"$folder/promised.txt"), without a line in the log $without_line"
  [ "$without_line" -eq 0 ] || status=1
}
if [ -n "${REFUSALS:-}" ]; then
  check_promises
elif [ -z "${VERSIONS:-}" ]; then
  check_separation
fi
if [ -n "$production" ]; then
  unread=$(cat "$folder"/gateway-*.log | grep -c 'event=datagram_dropped.*received:')
  broken=$(grep -c event=violation "$folder/emulator.log")
  lasted=$(awk -v from="${two_builds_since:-0}" -v until="${two_builds_until:-$length}" 'BEGIN{printf "%.0f", until-from}')
  echo "upgrades: $replaced, daemons of two builds for $lasted s, messages unread $unread, promises broken $broken"
fi
if [ "$status" -ne 0 ]; then
  echo "seed $seed failed; its logs are kept in $folder"
  exit 1
fi
if [ -n "${KEEP_LOGS:-}" ]; then
  echo "logs: $folder"
else
  rm -rf "$folder"
fi
