#!/usr/bin/env bash
# Installs the Node packages from the lock file and the model checker, each only when missing.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/typescript ] || npm ci --no-audit --no-fund --loglevel=error
command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc; }
