#!/bin/sh
# Builds the stand-ins of the scripts. The relay is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
cargo build --release --offline --manifest-path stand-ins/Cargo.toml --target-dir ../target/review
