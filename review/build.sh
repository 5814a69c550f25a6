#!/bin/sh
# Builds the cases with their stand-ins. It needs rustc and the standard library alone, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in 1 2 3; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2021 -O -o "target/review/case$case" "review/$case/case.rs"
    fi
done
