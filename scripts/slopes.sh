#!/usr/bin/env bash
# Measures how the cost of the control plane grows with the number of nodes and servers.
# Prints one row per size; takes about four minutes. Uses DIR (default /tmp/slopes).
set -eu
cd "$(dirname "$0")/.."
dir=${1:-/tmp/slopes}
for size in "50 500" "100 500" "200 500" "400 500" "100 1600" "100 3200" "100 6400"; do
  read -r nodes servers <<<"$size"
  rm -rf "$dir"
  scripts/cluster.sh start "$dir" examples/shapes/none.jsonc 3
  pids=$(awk '{print $2}' "$dir/pids" | paste -sd,)
  timeout 90 bin/loadgen fleet -c "$dir/n1.jsonc" --certs "$dir/tls" --entries 127.0.0.1:28001,127.0.0.1:28002,127.0.0.1:28003 \
    --secret operator-secret --pids "$pids" --nodes "$nodes" --servers "$servers" --changes 10 --idle 6s 2>/dev/null || echo "$size: failed"
  scripts/cluster.sh stop "$dir"
done
