#!/usr/bin/env bash
# Installs what the checks need, then runs every check and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
npm run --silent format:check
npm run --silent lint
npm run --silent generate:check
npm test --silent
