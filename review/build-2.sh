#!/usr/bin/env bash
# Builds the programs of the cases 4 and up, with every stand-in that they start, into
# target/review-2. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -I.)
shared=(tests/stand_ins/ports.cc review/second/*.cc)
objects=()
pids=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/[4-8]/scenario.cc; do
  name=case-$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" target/liboxbow_shell.a \
    target/liboxbow_core.a -lfmt -o "$out/$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
