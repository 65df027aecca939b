#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand-3 ./review/_stand3
