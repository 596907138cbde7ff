#!/bin/bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it did not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.."
export PYTHONPATH=review:target/deps:standins/src:$(ls -d packages/*/src | paste -sd:)
exec python3 -B review/3/case.py "${TROUBLE:-1}"
