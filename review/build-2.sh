#!/bin/bash
# Build what the scripts of the second review start: all stand-ins are Python and need
# no build. Check that they and the project's own can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:standins/src:review \
    python3 -c "import harness.group, standins_2.deployment"
