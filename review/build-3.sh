#!/usr/bin/env bash
# The stand-ins of this review are .mjs files and need no build; checks that they and the program are there.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/chivewalk.mjs ] || node scripts/bundle.mjs
node --check review/lib-3/site.mjs
