#!/usr/bin/env bash
# Starts three nodes and stand-in servers on loopback, runs a query, a write
# and a configuration change, and stops everything. Exits with 0 only if all
# answers were correct.
. "$(dirname "$0")/demo-lib.sh"

"$bin" cert --dir "$work/tls" --node zg-a-1 --node os-a-1 --node ka-a-1 || exit 1
operator=$("$bin" hash operator-secret); caller=$("$bin" hash caller-secret); token=$("$bin" hash server-token)
i=0
for n in zg-a-1:zg-a os-a-1:os-a ka-a-1:ka-a; do
  i=$((i + 1)); name=${n%%:*}; zone=${n##*:}
  cat >"$work/$name.jsonc" <<EOF
{
  // One of the three nodes of the demo.
  "node": "$name", "zone": "$zone", "roles": ["entry", "control"],
  "callers": "127.0.0.1:2700$i", "peers": "127.0.0.1:2710$i",
  "data": "$work/$name.data", "found": $([ $i = 1 ] && echo true || echo false),
  "control": [
    {"node": "zg-a-1", "peer": "127.0.0.1:27101"},
    {"node": "os-a-1", "peer": "127.0.0.1:27102"},
    {"node": "ka-a-1", "peer": "127.0.0.1:27103"},
  ],
  "tls": {"ca": "$work/tls/ca.pem", "cert": "$work/tls/$name.pem", "key": "$work/tls/$name.key"},
  "accounts": [{"name": "desk", "sha256": "$caller"}],
  "operators": [{"name": "ops", "sha256": "$operator"}],
  "server_tokens": ["$token"],
}
EOF
  "$bin" serve -c "$work/$name.jsonc" 2>"$work/$name.log" &
  pids+=($!)
done
sed "s|SERVER_TOKEN|server-token|" examples/standin-demo.jsonc >"$work/standin.jsonc"
bin/standin -c "$work/standin.jsonc" 2>"$work/standin.log" &
pids+=($!)

export SASSAFRASRING_ENTRIES=127.0.0.1:27001,127.0.0.1:27002,127.0.0.1:27003
as_ops() { SASSAFRASRING_USER=ops SASSAFRASRING_SECRET=operator-secret "$bin" "$@"; }
as_desk() { SASSAFRASRING_USER=desk SASSAFRASRING_SECRET=caller-secret "$bin" "$@"; }

say "waiting for nodes and servers"
for try in $(seq 1 300); do
  ready=0
  for e in 27001 27002 27003; do
    n=$(SASSAFRASRING_ENTRIES=127.0.0.1:$e as_ops server list --timeout 1s 2>/dev/null | grep -c -E 'fitter-app|dispatch-desk')
    [ "${n:-0}" = 50 ] && curl -sf "http://127.0.0.1:$e/readyz" >/dev/null && ready=$((ready + 1))
  done
  [ "$ready" = 3 ] && break
  sleep 0.1
done
[ "$ready" = 3 ] || fail "not all nodes are ready and know all 50 servers"
as_ops node list || fail "node list"

say "list of entries for callers"
curl -sf -u desk:caller-secret http://127.0.0.1:27001/v1/entries || fail entries

say "a query to all ten shards"
as_desk query fitter-app '{"profile":"D-12"}' | tee "$work/query.txt" || fail query
grep -q 'outcome done .*shards 10 of 10' "$work/query.txt" || fail "the query was not answered by all ten shards"

say "a write, and a resend of the same write"
as_desk write dispatch-desk '{"crew":7,"street":"Ilica 1"}' --key order-1 | tee "$work/write.txt" || fail write
SASSAFRASRING_ENTRIES=127.0.0.1:27003 as_desk write dispatch-desk '{"crew":7,"street":"Ilica 1"}' --key order-1 | tee "$work/again.txt" || fail "resend of the write"
grep -q 'replayed true' "$work/again.txt" || fail "the resend was not answered with the recorded answer"
curl -sf http://127.0.0.1:27900/counters | grep -q '"total":{.*"writes":1,"doubled":0' || fail "the write did not run exactly once"

say "a configuration change, in force on all three nodes"
as_ops config set hedge.budget=20 --reason "demonstration" --wait || fail "config set"
for e in 27001 27002 27003; do
  v=$(curl -sf -u ops:operator-secret "http://127.0.0.1:$e/v1/ops/config?local=true") || fail "cannot read the configuration of $e"
  echo "$e: $v"
  echo "$v" | grep -q '"key":"hedge.budget","value":20' || fail "hedge.budget=20 is not in force on $e"
done

say "a query with a wrong secret"
SASSAFRASRING_USER=desk SASSAFRASRING_SECRET=wrong "$bin" query fitter-app '{}' --timeout 2s && fail "a wrong secret was accepted"

say "stopping"
stop_all
[ "$failed" = 0 ] || fail "a process exited with an error"
rm -rf "$work"
echo "all answers were correct"
