#!/usr/bin/env bash
# A cold server becomes cold again before it is warm.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE=${TROUBLE:-1}
CASE=again RELAYS=2
CASE_DIR=$(dirname "$0")
. "$(dirname "$0")/../standin-2/lib.sh"
