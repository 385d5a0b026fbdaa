#!/usr/bin/env bash
# Measures what control costs each daemon at growing sizes, and fits a line through each column.
# Prints the tables of docs/CAPACITY.md. All figures come from this run.
set -euo pipefail
cd "$(dirname "$0")/.."
moorfold=build/release/src/moorfold
seconds=${SECONDS_MEASURED:-300}
out=$(mktemp)
trap 'rm -f "$out"' EXIT

measure() { # label, then flags of `moorfold hollow`
  local label=$1
  shift
  "$moorfold" hollow --seconds "$seconds" "$@" | sed "s/^{/{\"series\":\"$label\",/" >>"$out"
}

echo "measuring; each run covers $seconds s of virtual time" >&2
# The number of daemons in one zone, everything else fixed.
for n in 2 7 14 29 58; do measure "daemons in a zone" --count "$n" --zones 1 --servers 58 --models 60 --adapters 90; done
# Servers in one zone of 29 daemons.
for n in 29 58 116 171 342; do measure "servers in a zone" --count 29 --zones 1 --servers "$n" --models 270 --adapters 1200; done
# Models and adapters in one zone of 29 daemons and 171 servers.
for n in 30 60 120 270 540; do measure "models" --count 29 --zones 1 --servers 171 --models "$n" --adapters $((n * 4)); done
# Everything together: whole deployments.
measure "whole" --count 8 --zones 4 --servers 18 --models 60 --adapters 90 --changes-per-day 50
measure "whole" --count 10 --zones 5 --servers 58 --models 60 --adapters 90 --changes-per-day 500
measure "whole" --count 40 --zones 8 --servers 234 --models 120 --adapters 400 --changes-per-day 2000
measure "whole" --count 120 --zones 10 --servers 700 --models 200 --adapters 800 --changes-per-day 4000
measure "whole" --count 410 --zones 14 --servers 2400 --models 270 --adapters 1200 --changes-per-day 5300
"$moorfold" capacity-table --rows "$out"
