#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -Wall -Wextra review/standins/*.cpp \
  -o target/review/review-standin \
  -lPocoNet -lPocoJSON -lPocoFoundation -pthread
