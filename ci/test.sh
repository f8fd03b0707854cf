#!/usr/bin/env bash
# Runs all tests of the workspace. The last line of output is the sum over all test
# binaries: the last binary has no tests, and its result alone would read as if
# nothing had been run. A failed test that KNOWN-RED.txt lists is printed and does
# not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
results=$(mktemp)
trap 'rm -f "$results"' EXIT
status=0
cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$results" || status=$?
if [ "$status" -ne 0 ] && bash ci/known-red.sh "$results"; then
  status=0
fi
awk '/^test result:/ { passed += $4; failed += $6 }
     END { printf "%d passed, %d failed\n", passed, failed }' "$results"
exit "$status"
