#!/usr/bin/env bash
# Plays the case "silence" against the built system. With TROUBLE=0 it plays the same without the disruption.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/review-stand ] && [ -x target/greengagewheel ] || exit 2
exec target/review-stand silence review/5
