#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file. Their stand-ins are plain
# modules without dependencies, so that nothing is compiled: each is checked, and the program must be there.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
[ -f target/chivewalk.mjs ] || { echo 'target/chivewalk.mjs is missing: run the build of the deploy file'; exit 1; }
