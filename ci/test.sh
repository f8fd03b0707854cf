#!/usr/bin/env bash
# All tests of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
cargo test --workspace --locked --no-fail-fast
