#!/usr/bin/env bash
# A part of a prompt crashes a server, in requests whose other parts differ.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/fireflycleat ] || [ ! -x review/bin/stand ]; then
  echo "build the system (deploy/system.toml) and run review/build.sh first" >&2
  exit 2
fi
exec timeout -k 5 112 review/bin/stand poison-themes review/3
