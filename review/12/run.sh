#!/bin/bash
# A request that crashes servers comes again while all instances are killed twice. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: it crashes
# none, and nothing is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gypsumwharf ] && [ -x target/review-3/stage-3 ] || { echo "build first: the deploy file's line, review/build-3.sh" >&2; exit 2; }
exec target/review-3/stage-3 -program target/gypsumwharf -record review/12/record.txt crashes-forgotten
