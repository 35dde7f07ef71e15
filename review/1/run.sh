#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-harness ] || exit 2
exec target/review/release/review-harness odd-entry review/1/record.txt
