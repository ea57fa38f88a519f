#!/usr/bin/env bash
# Builds the router as the deploy file says, and the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/shalefork
go build -tags review -o target/review/ ./review/stage
