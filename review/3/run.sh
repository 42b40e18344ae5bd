#!/bin/sh
# Runs the case. Exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/peridotlbd ] || exit 2
exec target/review/harness late-heartbeat review/3/record.txt
