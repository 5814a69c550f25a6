#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, each with its case in one program under target/review-2/. They use the
# standard library only. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
  if [ -e "review/$case/case.rs" ]; then
    rustc --edition 2021 -O -o "target/review-2/case-$case" "review/$case/case.rs"
  fi
done
