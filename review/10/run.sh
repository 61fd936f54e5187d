#!/bin/sh
# No attempt for a client that has sent much and gone. TROUBLE=0: it sends its request alone, and goes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "not built: run review/build-2.sh"; exit 2; }
exec target/review-2/case-10
