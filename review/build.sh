#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/stand ./review/stand
