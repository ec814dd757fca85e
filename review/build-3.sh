#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=()
for source in review/standins-3/*.cpp; do
  object="target/review-3/$(basename "$source" .cpp).o"
  g++ -std=c++17 -O1 -Wall -Wextra -Iinclude -Isrc -Igenerated \
    -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
# shellcheck disable=SC2046
g++ "${objects[@]}" target/libbaobabcove.a target/libwire.a \
  $(pkg-config --libs grpc++ protobuf) -lPocoNet -lPocoJSON -lPocoFoundation \
  -llog4cplus -lyaml-cpp -lcrypto -lpthread -o target/review-3/review-3
