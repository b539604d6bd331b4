#!/bin/sh
# Builds what the cases 4 to 8 start beside the programs of the deploy file. Their
# stand-ins are plain modules that need no build, so this only checks them.
cd "$(dirname "$0")" || exit 1
for module in support-2/*.mjs [4-8]/case.mjs; do
  node --check "$module" || exit 1
done
