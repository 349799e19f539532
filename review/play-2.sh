#!/usr/bin/env bash
# Runs one of the stand-ins' programs, which writes its record to a file: play-2.sh PROGRAM RECORD. Exits as issue 56
# says.
set -uo pipefail
record="$2"
cd "$(dirname "$0")/.." || exit 2
program="target/review-stand-ins-2/release/$1"
[ -x "$program" ] && [ -x target/release/balsamfold-relay ] || { echo "not built" >&2; exit 2; }
rm -f "$record"
temporary="$(mktemp -d)" || exit 2
timeout --kill-after=5 115 "$program" "$record" "$temporary"
code=$?
# The program ends its relays itself. If it could not, they are ended here by their ids.
for pid in $(cat "$temporary"/*.pid 2>/dev/null); do
  kill -9 "$pid" 2>/dev/null
done
rm -rf "$temporary"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
