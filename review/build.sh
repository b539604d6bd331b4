#!/bin/sh
# Builds what the cases start besides the deploy file's programs. The stand-ins are plain
# modules without a dependency, so they are only checked.
set -e
cd "$(dirname "$0")"
for module in support/*.mjs [1-3]/*.mjs; do
  node --check "$module"
done
for script in support/*.sh [1-3]/run.sh; do
  sh -n "$script"
done
