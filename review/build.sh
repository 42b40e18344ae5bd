#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/harness
