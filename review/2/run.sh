#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
standins=review/standins/target/release/review-standins
[ -x "$standins" ] || exit 2
exec "$standins" repeated-event "$folder"
