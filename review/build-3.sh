#!/usr/bin/env bash
# Prepares the cases 11 to 15. Their stand-ins are plain JavaScript; there is
# nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
