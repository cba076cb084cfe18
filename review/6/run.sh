#!/usr/bin/env bash
# Cuts the controller off from the store for 3.4 s, and stops the next controller as planned. TROUBLE=0 does neither.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
for program in target/fireflycleat target/review2/stand2; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review2/stand2 turns "$folder/record.txt"
