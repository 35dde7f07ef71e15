#!/bin/sh
# Plays the case on loopback addresses: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review-2/release/review-2
[ -x "$stand_ins" ] && [ -x target/release/teaseldoor-entry ] || exit 2
exec "$stand_ins" limits review/9
