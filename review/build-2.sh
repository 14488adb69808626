#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/standins-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$it" .cpp)" "$it"
done
