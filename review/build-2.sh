#!/usr/bin/env bash
# Builds the stand-ins of review/4 and review/5. Needs no network: there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
cargo build --release --offline
