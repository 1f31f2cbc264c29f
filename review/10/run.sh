#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/geraniumworks ] && [ -x target/review-standin-2 ] || { echo 'build first: the deploy file, review/build-2.sh'; exit 2; }
export TROUBLE=${TROUBLE:-1}
exec timeout --signal=TERM --kill-after=5 118 target/review-standin-2 restored "$here"
