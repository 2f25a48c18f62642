#!/usr/bin/env bash
# Builds the stand-ins of all cases. Needs only cargo; there are no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir target
