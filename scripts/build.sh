#!/usr/bin/env bash
# Configures the project and builds it in the folder build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
