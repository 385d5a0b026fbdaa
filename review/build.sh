#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/out. Needs the build of deploy/system.toml,
# whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
[ $# -gt 0 ] || set -- surplus_refusal dropped_model reset_answer
for program in "$@"; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Isrc -Itest/emulator -Ireview/standin \
    "review/standin/$program.cc" review/standin/platform.cc \
    test/emulator/store_emulator.cc src/modelled/key_value_table.cc \
    target/src/libmoorfold_http.a -lboost_json -lpthread -o "review/out/$program"
done
