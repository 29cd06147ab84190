#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 and later into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/src-2/*_site.c; do
    name=$(basename "$source" .c)
    cc -std=gnu11 -O2 -Wall -Wextra -o "target/review-2/$name" \
        "$source" review/src-2/kit.c -lpthread
done
