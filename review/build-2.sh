#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++17 -O1 -Wall -Wextra -o target/review-2/standin \
  review/standins-2/*.cpp -lPocoNet -lPocoJSON -lPocoFoundation -lpthread
