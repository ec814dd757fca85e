#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases from 10 on.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -Wall -Wextra -Werror review/standins-3/*.cpp \
  -o target/review/standins-3 -lPocoNet -lPocoJSON -lPocoFoundation -pthread
