#!/usr/bin/env bash
# Formatting, lints, generated code and the crate graph.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo run --locked --quiet -p schema-gen -- --check

# The decisions must not reach a socket, a task or HTTP: scenarios and
# benchmarks could otherwise not drive them on a paused clock.
for crate in base conf live route place mem once role; do
  tree=$(cargo tree --locked -p "$crate" -e normal --prefix none)
  if grep -E '^(tokio|hyper|mio|socket2|futures-executor) ' <<<"$tree"; then
    echo "pure crate $crate reaches the runtime" >&2
    exit 1
  fi
done
