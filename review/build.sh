#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. The deploy file's build makes the product.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case-$(dirname "$source")" "$source"
done
