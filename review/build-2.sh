#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/review-2/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p ../../bin/review-2
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../bin/review-2/harness-2 .
