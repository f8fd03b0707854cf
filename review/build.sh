#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
cargo build --release --offline --locked
