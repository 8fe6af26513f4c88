#!/bin/sh
# The stand-ins of the cases are Python files without dependencies: compiling them
# shows that this Python can run them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q kit3 11 12 13
