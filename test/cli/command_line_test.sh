#!/usr/bin/env bash
# The command line as a user meets it: a table of calls, exit codes, and a part of what is printed.
set -uo pipefail
moorfold=$1
cd "$2"
failed=0
passed=0

expect() { # exit code, text to find, then the call
  local code=$1 text=$2 output actual
  shift 2
  output=$("$moorfold" "$@" 2>&1)
  actual=$?
  if [ "$actual" = "$code" ] && grep -qF -- "$text" <<<"$output"; then
    passed=$((passed + 1))
    return
  fi
  failed=$((failed + 1))
  echo "moorfold $*: exit $actual (expected $code), without '$text':"
  echo "$output" | head -5
}

expect 0 "usage: moorfold COMMAND" --help
expect 0 "moorfold 0." --version
expect 2 "usage" 
expect 2 "did you mean 'confirm'" confrim
expect 2 "did you mean '--seed'" simulate --scenario scenarios/hrdlicka.yaml --seeed 1
for command in serve validate plan confirm status simulate experiment load explain quarantine; do
  expect 0 "moorfold $command:" "$command" --help
done
expect 2 "Required argument missing" simulate
expect 2 "cannot be read" simulate --scenario scenarios/none.yaml
expect 2 "the kinds are" simulate --scenario scenarios/hrdlicka.yaml --faults chaos:fire
expect 2 "no fault mode" simulate --scenario scenarios/hrdlicka.yaml --faults storm
expect 2 "write --set KEY=VALUE" simulate --scenario scenarios/hrdlicka.yaml --set policy
expect 2 "Valid: on_demand" simulate --scenario scenarios/hrdlicka.yaml --set policy=magic
expect 2 "did you mean 'duration'" simulate --scenario scenarios/hrdlicka.yaml --set durration=1h
expect 0 '"configuration_late":0' simulate --scenario scenarios/carpatica.yaml --set duration=2m --json
expect 2 "varies nothing" experiment --scenario scenarios/hrdlicka.yaml --vary policy
expect 2 "give --name" serve --settings settings/hrdlicka/ruzinov.yaml
expect 2 "IP:PORT" serve --settings settings/hrdlicka/ruzinov.yaml --listen nowhere
expect 2 "IP:PORT" status --server here
expect 1 "refused" status --server 127.0.0.1:1
expect 2 "IP:PORT" quarantine --gateway here
expect 1 "refused" quarantine --gateway 127.0.0.1:1
expect 2 "Required argument missing" quarantine
expect 2 "give one of" explain --links --day LOG
expect 2 "give --scenario FILE" load --server 127.0.0.1:1
expect 2 "did you mean" hollow --count 2
expect 0 "a valid intent" validate intents/hrdlicka.yaml deployments/carpatica.yaml settings/carpatica/sibiu.yaml
expect 2 "cannot be read" validate none.yaml

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
