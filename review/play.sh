#!/bin/sh
# Plays one of the scripts that are no cases: prompt-crash, prompt-crash-kills, prompt-crash-popular, stop-all,
# stop-all-outage, limit-restart, pipeline-gone. Exit codes and TROUBLE=0 as in the cases. Prints where the record is.
root=$(cd "$(dirname "$0")/.." && pwd)
temporary=$(mktemp -d)
timeout 118 "$root/target/review/release/review-stand-ins" "$1" "$root/target/release/balsamfold-relay" "$temporary" "$temporary/record.txt"
code=$?
if [ "$code" -ge 124 ] && [ -f "$temporary/pids" ]; then
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$temporary/pids"
fi
echo "record: $temporary/record.txt"
exit "$code"
