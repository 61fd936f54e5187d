#!/bin/sh
# Builds the programs of review/6 and on, and the project's programs that they start beside those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[6-9]/case.rs review/10/case.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
cargo build --release --locked -p fernroute-coordinator
