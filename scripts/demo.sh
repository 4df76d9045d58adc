#!/usr/bin/env bash
# Builds, starts the platform stand-in, two entries and three agents with their
# backend servers on loopback, applies a configuration, runs a job of 100 tasks
# of 50 ms each and stops all processes gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
source scripts/lib.sh
trap 'stop_all || true' EXIT

CLI="$BIN/cyclamenwalk"
ENTRY_1="--entry 127.0.0.1:18081"
ENTRY_2="--entry 127.0.0.1:18082"

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

lists_three_agents() {
  [ "$("$CLI" status $1 --json | grep -c '"agent"')" = 3 ]
}
has_configuration_1() {
  "$CLI" status $1 --json | grep -q '"configuration_version": 1'
}
wait_until 20 lists_three_agents "$ENTRY_1"
wait_until 20 lists_three_agents "$ENTRY_2"

echo "== applying examples/gatepost.ini"
"$CLI" apply examples/gatepost.ini $ENTRY_1 --operator demo
wait_until 5 has_configuration_1 "$ENTRY_2"
"$CLI" audit $ENTRY_2 --limit 1 | head -n 3

echo "== a job of 100 tasks of 50 ms"
"$CLI" submit $ENTRY_2 --service gatepost --team vending --kind candle \
  --tasks 100 --payload '{"run_ms":50}'
"$CLI" status $ENTRY_1

echo "== stopping gracefully"
stop_all
trap - EXIT
echo "== done"
