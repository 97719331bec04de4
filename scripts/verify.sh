#!/usr/bin/env bash
# Installs the dependencies, then checks format, lint and generated code, and builds and tests the project.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
npm run --silent format:check
npm run --silent lint
npm run --silent generate:check
npm test --silent
