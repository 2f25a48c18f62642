#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
