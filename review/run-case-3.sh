#!/usr/bin/env bash
# run-case-3.sh NAME FOLDER: runs a case of target/review-3/stage with its record in FOLDER.
# Ends all processes of the case, also when it is interrupted. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.."
[ -x target/release/rattanturnd ] && [ -x target/review-3/stage ] || { echo "not built"; exit 2; }
export FOLDER=$(mktemp -d) || exit 2
export PIDS=$FOLDER/pids
: > "$PIDS"
stage=
end() {
    [ -n "$stage" ] && kill -TERM "$stage" 2>/dev/null
    [ -f "$PIDS" ] && while read -r pid; do
        case $(readlink "/proc/$pid/exe" 2>/dev/null) in */rattanturnd*) kill -KILL "$pid" 2>/dev/null ;; esac
    done < "$PIDS"
    rm -rf "$FOLDER"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout --signal=KILL 110 target/review-3/stage "$1" "$2/record.txt" &
stage=$!
wait "$stage"
code=$?
stage=
[ "$code" -le 2 ] || code=2
exit "$code"
