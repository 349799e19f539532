#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The relay itself is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml \
  --target-dir target/review-stand-ins-2
