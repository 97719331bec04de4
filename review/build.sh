#!/usr/bin/env bash
# The scripts' stand-ins are plain JavaScript modules: checks them; there is nothing to compile.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
