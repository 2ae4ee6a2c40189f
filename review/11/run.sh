#!/bin/sh
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 nothing is disturbed. Build the deploy file and review/build-3.sh before.
case_directory=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_directory/../.." || exit 2
driver=target/review-cases-3/release/review-cases-3
for program in "$driver" target/release/samphirespread-gateway target/release/samphirespread-sidecar; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec "$driver" idle "$case_directory/record.txt"
