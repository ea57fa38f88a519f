#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/stage2 ./review/stage2
