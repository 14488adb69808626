#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/11 to review/15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$(basename "$it" .cpp)" "$it"
done
