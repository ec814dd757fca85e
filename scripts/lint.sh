#!/usr/bin/env bash
# Runs clang-tidy in parallel on all C++ sources that are not generated.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' ':!generated' |
  { xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet || true; } >build/lint.txt 2>/dev/null
if grep -qE 'error:|warning:' build/lint.txt; then
  cat build/lint.txt
  exit 1
fi
echo "clang-tidy: clean"
