#!/usr/bin/env bash
# Builds, starts a stand-in platform, two entries and three agents with backend
# servers on loopback, applies a configuration, runs a job of 100 tasks of
# 50 ms, and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
source scripts/lib.sh
trap 'stop_all || true' EXIT

CLI="$BIN/cyclamenwalk"
E1="--entry 127.0.0.1:18081"
E2="--entry 127.0.0.1:18082"

echo "== starting (logs in $LOGS)"
for i in 1 2; do
  start "entry-$i" "$CLI" serve "examples/demo/entry-$i.ini"
done
for i in 1 2 3; do
  start "agent-$i" "$BIN/cyclamenwalk-agent" "examples/demo/agent-$i.ini"
  start "backend-$i" "$BIN/standin-backend" --listen "127.0.0.1:1828$i" \
    --agent "127.0.0.1:1818$i" --service gatepost
done
start platform "$BIN/standin-platform" 127.0.0.1:17080

knows_three_agents() {
  [ "$("$CLI" status $1 --json | grep -c '"agent"')" = 3 ]
}
in_force() {
  "$CLI" status $1 --json | grep -q '"configuration_version": 1'
}
wait_until 20 knows_three_agents "$E1"
wait_until 20 knows_three_agents "$E2"

echo "== applying examples/gatepost.ini"
"$CLI" apply examples/gatepost.ini $E1 --operator demo
wait_until 5 in_force "$E2"
"$CLI" audit $E2 --limit 1 | head -n 3

echo "== a job of 100 tasks of 50 ms"
"$CLI" submit $E2 --service gatepost --team vending --kind candle \
  --tasks 100 --payload '{"run_ms":50}'
"$CLI" status $E1

echo "== stopping gracefully"
stop_all
trap - EXIT
echo "== done"
