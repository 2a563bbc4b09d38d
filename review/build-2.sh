#!/bin/bash
# Builds what the scripts of review/6 to review/10 start. Their stand-ins are
# plain modules, so that there is nothing to compile; this checks them, and that
# the build of the deploy file has been run.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.mjs review/{6,8,9,10}/run.mjs; do
  node --check "$file" || exit 1
done
[ -f target/main.cjs ] || { echo 'run the build of deploy/system.toml first'; exit 1; }
