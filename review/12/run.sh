#!/bin/bash
# A booking server answers 503, without X-Not-Executed, after it has run a reservation. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no
# server fails.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gypsumwharf ] && [ -x target/review-3/stage-3 ] || { echo "build first: the deploy file's line, review/build-3.sh" >&2; exit 2; }
exec target/review-3/stage-3 -program target/gypsumwharf -record review/12/record.txt failed-after-running
