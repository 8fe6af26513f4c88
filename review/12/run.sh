#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec python3 "$folder/case.py" "$folder"
