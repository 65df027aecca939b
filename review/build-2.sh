#!/usr/bin/env bash
# Builds the program that starts the system and its stand-ins for the scripts of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOPROXY=off go build -o target/review-stand-2 ./review/_stand2
