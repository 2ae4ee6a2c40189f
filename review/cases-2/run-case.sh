#!/bin/sh
# Runs a case: NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. No
# process that the case has started outlives this script.
case_program="$(dirname "$0")/target/release/review-cases-2"
[ -x "$case_program" ] || { echo "review/build-2.sh has to run first" >&2; exit 2; }
PIDS_FILE="${TMPDIR:-/tmp}/review-2-pids-$$"
export PIDS_FILE
"$case_program" "$1" "$2" &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' INT TERM
wait "$case_pid"
code=$?
if [ -f "$PIDS_FILE" ]; then
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$PIDS_FILE"
    rm -f "$PIDS_FILE"
fi
[ "$code" -le 2 ] || code=2
exit "$code"
