#!/usr/bin/env bash
# Fails when a C++ source file is not formatted by clang-format.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' ':!generated' | xargs clang-format --dry-run --Werror
