#!/bin/sh
# The stand-ins of cases 11 to 15 are Python files without dependencies: compiling them
# shows that this Python can run them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q kit3 12
