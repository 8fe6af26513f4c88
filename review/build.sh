#!/usr/bin/env bash
# Builds the stand-ins of the cases, which are Python modules without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q reviewkit 1 2 3 4 5
