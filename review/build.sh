#!/bin/bash
# Builds every stand-in that the scripts start. All are plain Python and run from their
# sources, so this only checks that they and their libraries can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review:target/deps:standins/src:$(ls -d packages/*/src | paste -sd:) \
    python3 -B -c 'import harness.deployment, harness.http, harness.group, harness.ranks'
