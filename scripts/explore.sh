#!/usr/bin/env bash
# explore.sh [SEED [CASES]]: runs the property tests with a random seed and many
# cases. Prints the seed, with which RC_PARAMS="seed=N" TEST repeats a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED="${1:-$RANDOM$RANDOM}"
CASES="${2:-2000}"
echo "seed $SEED, $CASES cases"
for test in core/core_test request/request_test job/job_test configuration/configuration_test \
  membership/membership_test policy/policy_test protocol/protocol_test \
  settings/settings_test entry/entry_test; do
  RC_PARAMS="seed=$SEED max_success=$CASES" "build/packages/$test" \
    >/tmp/explore.$$ 2>&1 || {
    grep -vE '^\[20' /tmp/explore.$$ | tail -n 40
    echo "failed: RC_PARAMS=\"seed=$SEED max_success=$CASES\" $test"
    exit 1
  }
done
rm -f /tmp/explore.$$
echo "all properties passed"
