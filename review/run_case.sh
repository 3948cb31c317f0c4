#!/usr/bin/env bash
# run_case.sh N: runs the program of case N from the root of the repository, with a
# temporary folder for settings and logs. Exit status: 1, the rule was broken; 0, it
# held; 2, the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
readonly program=target/review/case$1
[ -x "$program" ] && [ -x target/oxbowbank ] || exit 2
folder=$(mktemp -d) || exit 2
# The controllers end with the program (PR_SET_PDEATHSIG).
"$program" "$folder" "review/$1/record.txt" &
pid=$!
trap 'kill -KILL $pid 2>/dev/null' TERM INT
for _ in $(seq 1180); do
  kill -0 $pid 2>/dev/null || break
  sleep 0.1
done
if kill -0 $pid 2>/dev/null; then
  kill -KILL $pid
  wait $pid
  status=2
else
  wait $pid
  status=$?
fi
[ -z "${KEEP_LOGS:-}" ] && rm -rf "$folder" || echo "logs: $folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
