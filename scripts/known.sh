#!/usr/bin/env bash
# Runs a go test command. Exits with an error if a test fails that is not listed
# in KNOWN-RED.txt; prints the listed tests that failed.
set -u
cd "$(dirname "$0")/.."
out=$(mktemp)
"$@" 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
failed=$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$out" | sort -u)
broken=$(grep -cE '\[build failed\]|^panic:|WARNING: DATA RACE' "$out")
rm -f "$out"
[ "$status" = 0 ] && exit 0
[ "$broken" = 0 ] && [ -n "$failed" ] || exit 1
for name in $failed; do
  grep -q "^$name " KNOWN-RED.txt 2>/dev/null || { echo "failed and not listed in KNOWN-RED.txt: $name"; exit 1; }
done
echo "known failures from KNOWN-RED.txt, ignored:" $failed
