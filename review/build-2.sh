#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 and later start. The routers come from the build of the deploy file.
set -e
cd "$(dirname "$0")/harness-2"
cargo build --release --locked --offline
