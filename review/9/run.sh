#!/bin/sh
# Plays the case once. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export PROJECT="$here/../.." RECORD="$here/record.txt"
[ -x "$here/../bin/second/case9" ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec "$here/../bin/second/case9"
