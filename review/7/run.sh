#!/bin/sh
# Plays the case on loopback addresses: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out; the rule must hold then.
cd "$(dirname "$0")/../.." || exit 2
stand_ins=target/review-2/release/review-2
[ -x "$stand_ins" ] && [ -x target/release/teaseldoor-entry ] || exit 2
case "${TROUBLE:-1}" in
    0) trouble=without ;;
    *) trouble=with ;;
esac
exec "$stand_ins" quarantine review/7 "$trouble"
