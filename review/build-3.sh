#!/bin/sh
# Builds what the scripts of this review start, after the build of deploy/system.toml: their
# stand-ins are Python programs without dependencies, which are compiled here as a check.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
test -x target/release/dotterelshore-scheduler || cargo build --release --locked --offline -p dotterelshore-scheduler
