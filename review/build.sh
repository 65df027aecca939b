#!/usr/bin/env bash
# Builds the program that starts the system and its stand-ins for the scripts of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/_stand
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-stand .
