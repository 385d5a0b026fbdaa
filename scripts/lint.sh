#!/usr/bin/env bash
# clang-format and clang-tidy over the whole tree; fails on any difference or warning.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cc')
clang-format-16 --dry-run --Werror "${files[@]}"
cmake --preset release >/dev/null
mapfile -t sources < <(git ls-files 'src/*.cc' 'platform/*.cc' 'test/*.cc' 'bench/*.cc')
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy-16 -p build/release --quiet 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#sources[@]} sources without a warning"
