#!/bin/sh
# Build the stand-ins that the scripts of the third review start. They are Python and
# run inside the scripts, so it is enough to compile them.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of the deploy file first" >&2
    exit 2
fi
PYTHONPATH="target/deps:standins/src:review" python3 -m compileall -q \
    standins/src review/harness_3
PYTHONPATH="target/deps:standins/src:review" python3 -c \
    "import harness_3.client, harness_3.deployment"
