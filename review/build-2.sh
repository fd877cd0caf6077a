#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2. After the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/standin-2.new review/standin-2.cpp -pthread
mv target/review-2/standin-2.new target/review-2/standin-2
