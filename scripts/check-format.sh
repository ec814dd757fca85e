#!/usr/bin/env bash
# Fails when a source file differs from what clang-format makes of it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' ':!generated' | xargs clang-format --dry-run --Werror
