#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-3.md, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
go build -o ../../target/harness3 .
