#!/bin/bash
# Runs a case of the second review: run-case-2.sh CASE FOLDER. TROUBLE=0 leaves the disturbance out.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. Needs the build of the deploy
# file and review/build-2.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/release/rattanturnd target/review-2/stage-2; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
folder=$(mktemp -d) || exit 2
stage=

# Ends what the case started, also if it was interrupted.
end_all() {
    [ -n "$stage" ] && kill -KILL "$stage" 2>/dev/null
    while read -r pid; do
        # A process that has ended may have left its id to another one.
        grep -qsF "$folder" "/proc/$pid/cmdline" && kill -KILL "$pid" 2>/dev/null
    done 2>/dev/null <"$folder/pids"
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
TMPDIR="$folder" target/review-2/stage-2 "$1" "review/$2" &
stage=$!
wait "$stage"
code=$?
stage=
[ "$code" -le 1 ] || code=2
exit "$code"
