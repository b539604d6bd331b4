#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -r ../support/run_case.sh ] || exit 2
. ../support/run_case.sh
