#!/usr/bin/env bash
# build.sh - builds the stand-ins of the cases into review/bin
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for tool in http answers orders crashers; do
    "${CC:-gcc}" -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -pthread \
        -o "bin/$tool" "src/$tool.c" src/net.c
done
