# Common functions of the demo scripts, which source this file.
# shellcheck shell=bash
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
bin=$PWD/bin/sassafrasring
pids=()

stop_all() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || failed=1; done
}
fail() { echo "FAILED: $*" >&2; tail -n 5 "$work"/*.log >&2; stop_all; rm -rf "$work"; exit 1; }
say() { printf '\n== %s\n' "$*"; }
failed=0
