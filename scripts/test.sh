#!/usr/bin/env bash
# Installs packages, builds, and runs all tests except those in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
exclude=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
if [ -n "$exclude" ]; then
  echo "Known red, not run:"
  cat KNOWN-RED.txt
  exec ctest --test-dir build --output-on-failure -j "$(( ($(nproc) + 1) / 2 ))" --timeout 600 -E "^($exclude)\$"
fi
exec ctest --test-dir build --output-on-failure -j "$(( ($(nproc) + 1) / 2 ))" --timeout 600
