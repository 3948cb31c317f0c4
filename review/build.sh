#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. Runs after
# the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly out=target/review
mkdir -p $out
flags=(-std=c++20 -O1 -Wall -Wextra -I.)
jobs=()
for name in platform state_service worker deployment; do
  g++ "${flags[@]}" -c review/$name.cc -o $out/$name.o &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
jobs=()
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" $out/{platform,state_service,worker,deployment}.o \
    target/liboxbow_shell.a target/liboxbow_core.a -lfmt -o $out/case$number &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
