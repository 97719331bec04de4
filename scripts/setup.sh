#!/usr/bin/env bash
# Installs the npm packages of the lock file and the model checker Spin, each only if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/typescript ] || npm ci --no-audit --no-fund --loglevel=error
command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc; }
