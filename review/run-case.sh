#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/release/rattanturnd target/review/stage; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
pid=
# The daemons end with the stage, which started them.
trap 'if [ -n "$pid" ]; then kill -KILL "$pid"; wait "$pid"; fi 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM HUP
TMPDIR="$folder" TROUBLE="${TROUBLE:-1}" target/review/stage "$1" "review/$2/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
[ "$code" -le 1 ] || code=2
exit "$code"
