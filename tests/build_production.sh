#!/usr/bin/env bash
# Builds the version in production from the repository's history, for the tests
# that upgrade from it: `build_production.sh SOURCES OUT`. The sources at that
# commit are laid out in OUT/source, its program is OUT/source/target/oxbowbank.
# Exits with status 77, which marks a test as skipped in CTest, unless
# OXBOW_UPGRADE_TEST=1 is set, and where the history is missing (a shallow clone,
# an archive).
set -euo pipefail
sources=$1
out=$2
readonly not_run=77

skip() {
  echo "not run: $*"
  exit $not_run
}

[ "${OXBOW_UPGRADE_TEST:-0}" = 1 ] || skip "OXBOW_UPGRADE_TEST is not 1"
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$sources/deploy/service.toml")
[ -n "$commit" ] || skip "deploy/service.toml names no version in production"
git -C "$sources" cat-file -e "$commit^{commit}" 2>/dev/null ||
  skip "the history does not hold $commit"

# An earlier build is reused if it is of the same commit.
if [ "$(cat "$out/commit" 2>/dev/null)" != "$commit" ]; then
  rm -rf "$out"
  mkdir -p "$out/source"
  git -C "$sources" archive "$commit" | tar -x -C "$out/source"
fi
launcher=${CMAKE_CXX_COMPILER_LAUNCHER:-}
if [ -z "$launcher" ] && command -v ccache >/dev/null; then launcher=ccache; fi
cmake -S "$out/source" -B "$out/source/target" -DCMAKE_BUILD_TYPE=Release \
  -DOXBOW_TESTS=OFF -DCMAKE_CXX_COMPILER_LAUNCHER="$launcher" >/dev/null
cmake --build "$out/source/target" --target oxbowbank \
  -j"${CMAKE_BUILD_PARALLEL_LEVEL:-8}" >/dev/null
echo "$commit" >"$out/commit"
echo "the version in production, $commit, is built"
