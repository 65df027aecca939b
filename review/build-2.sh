#!/usr/bin/env bash
# Builds the programs that start the system and its stand-ins for the scripts of the cases of the second review: its own, and that of the
# first review, which plays case 9.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOPROXY=off go build -o target/review-stand-2 ./review/_stand2
cd review/_stand
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-stand .
