#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done <packages.txt
((${#missing[@]})) || exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
