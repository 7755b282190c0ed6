#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
export CASE_DIR="$here" PROJECT_ROOT="$(cd "$here/../.." && pwd)"
[ -x "$PROJECT_ROOT/bin/coralyard" ] && [ -x "$here/../bin/case3" ] || { echo "NOT RUN: build the project and review/build.sh first"; exit 2; }
exec "$here/../bin/case3"
