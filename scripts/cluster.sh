#!/usr/bin/env bash
# Starts or stops nodes and stand-in servers on loopback for measurements.
#   cluster.sh start DIR SHAPE NODES   SHAPE: a file in examples/shapes
#   cluster.sh stop DIR
# DIR contains the settings, logs, data, tls/ and pids (one "name pid" per line).
set -eu
cd "$(dirname "$0")/.."
bin=$PWD/bin

start() {
  dir=$1 shape=$2 count=$3
  mkdir -p "$dir"
  zones=$(sed -n 's|^ *// zones: *||p' "$shape")
  read -r -a zone <<<"$zones"
  control='' names=()
  for i in $(seq 1 "$count"); do
    names+=("--node" "n$i")
    [ "$i" -le 3 ] && control+="{\"node\": \"n$i\", \"peer\": \"127.0.0.1:$((28100 + i))\"},"
  done
  "$bin/sassafrasring" cert --dir "$dir/tls" "${names[@]}"
  op=$("$bin/sassafrasring" hash operator-secret) caller=$("$bin/sassafrasring" hash caller-secret) token=$("$bin/sassafrasring" hash server-token)
  : >"$dir/pids"
  entries=''
  for i in $(seq 1 "$count"); do
    z=${zone[$(((i - 1) % ${#zone[@]}))]}
    roles='"entry"' data='' found=false
    if [ "$i" -le 3 ]; then roles='"entry", "control"' data="$dir/n$i.data"; fi
    [ "$i" = 1 ] && found=true
    cat >"$dir/n$i.jsonc" <<EOF
{
  "node": "n$i", "zone": "$z", "roles": [$roles], "callers": "127.0.0.1:$((28000 + i))", "peers": "127.0.0.1:$((28100 + i))",
  "data": "$data", "found": $found, "control": [$control],
  "tls": {"ca": "$dir/tls/ca.pem", "cert": "$dir/tls/n$i.pem", "key": "$dir/tls/n$i.key"},
  "accounts": [{"name": "desk", "sha256": "$caller"}, {"name": "phones", "sha256": "$caller"}],
  "operators": [{"name": "ops", "sha256": "$op"}], "server_tokens": ["$token"], "log": {"level": "info", "format": "json"},
}
EOF
    "$bin/sassafrasring" serve -c "$dir/n$i.jsonc" ${PROFILE:+--cpuprofile "$dir/n$i.prof"} 2>"$dir/n$i.log" &
    echo "n$i $!" >>"$dir/pids"
    entries+="${entries:+,}\"127.0.0.1:$((28000 + i))\""
  done
  sed "s|ENTRIES|$entries|" "$shape" >"$dir/standin.jsonc"
  if grep -q '"services"' "$shape"; then
    "$bin/standin" -c "$dir/standin.jsonc" 2>"$dir/standin.log" &
    echo "standin $!" >>"$dir/pids"
  fi
  pids=$(awk '$1 ~ /^n/ {print $2}' "$dir/pids" | paste -sd,)
  for load in examples/load-*.jsonc; do
    sed "s|\"entries\": \[.*\]|\"entries\": [$entries], \"pids\": [$pids]|" "$load" >"$dir/$(basename "$load")"
  done
  for i in $(seq 1 "$count"); do
    for _ in $(seq 1 400); do
      curl -sf "http://127.0.0.1:$((28000 + i))/readyz" >/dev/null && break
      sleep 0.1
    done
  done
  sleep 1
}

stop() {
  while read -r _ pid; do kill -TERM "$pid" 2>/dev/null || true; done <"$1/pids"
  while read -r _ pid; do
    for _ in $(seq 1 300); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  done <"$1/pids"
}

"$@"
