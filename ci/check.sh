#!/usr/bin/env bash
# Checks formatting, lints, generated code, crate dependencies and the use of wire names.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo run --locked --quiet -p schema-gen -- --check

# The crates that make decisions must not depend on sockets, async tasks or HTTP;
# otherwise scenarios and benchmarks could not drive them on a paused clock.
for crate in access base conf live quota route place mem once role direct; do
  tree=$(cargo tree --locked -p "$crate" -e normal --prefix none)
  if grep -E '^(tokio|hyper|mio|socket2|futures-executor) ' <<<"$tree"; then
    echo "pure crate $crate reaches the runtime" >&2
    exit 1
  fi
done

# The platform's wire names are decoded in platform/ only. A name that also occurs
# elsewhere would have to be changed in two places, and would bring the platform's
# poor naming into the product's code. Each alternative of the pattern is a header,
# a field, a path or a variable on the wire.
names='Target-Instance|target-instance|Token-Usage|token-usage|Prefix-Hash|prefix-hash'
names+='|Not-Executed|not-executed|Response-Signature|response-signature|Weight-Versions'
names+='|Queue-Hold|queue-hold|Kv-From|kv-from|Kv-Backup|kv-backup|Model-Id|model-id'
names+='|Tenant-Id|tenant-id|token_routing|uncached_tokens|api_keys|quota_tolerance'
names+='|Request-Priority|request-priority|route_table|weighted_backends|fencing_token'
names+='|path_prefix|target_latency_ms|itl_target_ms|kv_capacity|max_adapters'
names+='|Server-Limit|server-limit|Server-Leaving|server-leaving|Store-Era|store-era'
names+='|SESAMESHORE_BOOT|client_facing|model_load|deletion_pending'
if git grep -nE "$names" -- '*.rs' '*.proto' ':!platform/'; then
  echo "a wire name of the platform stands outside platform/" >&2
  exit 1
fi
