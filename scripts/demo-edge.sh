#!/usr/bin/env bash
# Starts three edge nodes and stand-in servers on loopback, applies a routing
# table, sends searches and writes through it and stops everything. Exits with 0
# only if all answers were correct.
. "$(dirname "$0")/demo-lib.sh"

export SASSAFRASRING_ENTRIES=127.0.10.1:27302,127.0.10.2:27302,127.0.10.3:27302
zones=(zg-a os-a ka-a)
for i in 1 2 3; do
  ip=127.0.10.$i
  cat >"$work/$ip.jsonc" <<EOF
{
  // One of the three edge nodes of the demo.
  "id": "$ip", "name": "edge-$i", "zone": "${zones[$((i - 1))]}", "region": "hr", "callers": "$ip:27301", "control": "$ip:27302",
  "link_port": 27303, "gossip_port": 27304, "seeds": ["127.0.10.1", "127.0.10.2", "127.0.10.3"], "found": true, "data": "$work/$ip.data",
}
EOF
  "$bin" edge -c "$work/$ip.jsonc" >"$work/$ip.log" 2>&1 &
  pids+=($!)
done
bin/standin -c examples/edge/standin.jsonc >"$work/standin.log" 2>&1 &
pids+=($!)

say "applying a routing table through one node"
"$bin" routes apply examples/edge/routes.jsonc --reason "demonstration" --timeout 30s || fail "routes apply"

say "waiting for servers"
for try in $(seq 1 300); do
  ready=0
  for i in 1 2 3; do
    [ "$(curl -sf "http://127.0.10.$i:27302/v1/ops/status" | grep -o '"address"' | wc -l)" = 33 ] && ready=$((ready + 1))
  done
  [ "$ready" = 3 ] && break
  sleep 0.1
done
[ "$ready" = 3 ] || fail "not all nodes know all 33 servers"
"$bin" routes status || fail "routes status"

say "a search over ten shards and a write"
curl -sf -H 'Host: fitters.example' -H 'X-Request-Id: demo-1' "http://127.0.10.1:27301/search/x" -D "$work/head" -o "$work/body" || fail search
cat "$work/head"
[ "$(stat -c %s "$work/body")" = 480 ] || fail "the search answer is not 480 bytes: records are missing"
curl -sf -H 'Host: fitters.example' -H 'X-Request-Id: demo-2' -d 'crew 7' "http://127.0.10.2:27301/orders/7" || fail order

say "load with a server that dies and one that becomes slow"
bin/loadgen run -c examples/edge/load.jsonc --json "$work/load.json" || fail load

say "stopping"
stop_all
[ "$failed" = 0 ] || fail "a process exited with an error"
rm -rf "$work"
echo "all answers were correct"
