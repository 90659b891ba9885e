#!/bin/sh
# Builds the stand-ins and the clients of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
