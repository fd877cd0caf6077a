#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/standin review/standin.cpp
