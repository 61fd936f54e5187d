#!/bin/sh
# Both processes of an upgrade stay within the memory of one balancer. TROUBLE=0: there is no second process.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-7 ] || { echo "not built: run review/build-2.sh"; exit 2; }
exec target/review-2/case-7
