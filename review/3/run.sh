#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Needs a fresh build.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -d target/deps/waxwingford ]; then
    echo 'could not run: target/ is not built'
    exit 2
fi
export TROUBLE="${TROUBLE:-1}"
timeout --signal=INT --kill-after=5 110 \
    python3 -m review.tests.waiting_count review/3/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
