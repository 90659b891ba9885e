#!/bin/sh
# The stand-ins of the cases 6 to 10 are in Python 3 (3.11 or newer) and use its standard library
# alone. This checks that they compile and that the program of the deploy file is built.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in harness-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/release/dotterelshore-scheduler
echo "the stand-ins are ready"
