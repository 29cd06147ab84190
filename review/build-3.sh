#!/usr/bin/env bash
# build-3.sh - builds the stand-ins of review cases 11 to 15, after the build
# of the deploy file
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="libh2o libuv msgpack jansson libxxhash openssl tomlplusplus zlib"
for source in review/src-3/*.c; do
    # shellcheck disable=SC2046
    gcc -std=c11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Isrc \
        $(pkg-config --cflags $packages) "$source" target/libmarigold.a \
        $(pkg-config --libs $packages) -lssl -lcrypto -llog4c -largtable2 \
        -lstdc++ -lm -o "$out/$(basename "$source" .c)"
done
