#!/usr/bin/env bash
# Formatting, lints, generated code and the crate graph.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo run --locked --quiet -p schema-gen -- --check

# The decisions must not reach a socket, a task or HTTP: scenarios and
# benchmarks could otherwise not drive them on a paused clock.
for crate in access base conf live quota route place mem once role direct; do
  tree=$(cargo tree --locked -p "$crate" -e normal --prefix none)
  if grep -E '^(tokio|hyper|mio|socket2|futures-executor) ' <<<"$tree"; then
    echo "pure crate $crate reaches the runtime" >&2
    exit 1
  fi
done

# The platform's names are decoded once, in platform/: a name that stands in the
# product as well would have to be changed in two places, and its poor name would
# be read there. Each needle is a header, a field, a path or a variable on the wire.
names='Target-Instance|target-instance|Token-Usage|token-usage|Prefix-Hash|prefix-hash'
names+='|Not-Executed|not-executed|Response-Signature|response-signature|Weight-Versions'
names+='|Queue-Hold|queue-hold|Kv-From|kv-from|Kv-Backup|kv-backup|Model-Id|model-id'
names+='|Tenant-Id|tenant-id|token_routing|uncached_tokens|api_keys|quota_tolerance'
names+='|Request-Priority|request-priority|route_table|weighted_backends|fencing_token'
names+='|path_prefix|target_latency_ms|itl_target_ms|kv_capacity|max_adapters'
names+='|Server-Limit|server-limit|Server-Leaving|server-leaving'
names+='|SESAMESHORE_BOOT|client_facing|model_load|deletion_pending'
if git grep -nE "$names" -- '*.rs' '*.proto' ':!platform/'; then
  echo "a wire name of the platform stands outside platform/" >&2
  exit 1
fi
