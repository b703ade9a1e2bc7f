#!/usr/bin/env bash
# A trial that is killed leaves no process behind.
# Usage: killed_trial.sh PROGRAM
# The trial's standard input is the writing end of a pipe, which its processes inherit: the reading end is at its end
# once the last of them has ended.
set -euo pipefail
program=$1
timeout_s=20
folder=$(mktemp -d)
trial=
cleanup() {
  [ -z "$trial" ] || kill -9 "$trial" 2> /dev/null || true
  rm -rf "$folder" "${fleet:-$folder}"
}
trap cleanup EXIT
mkfifo "$folder/alive" "$folder/output"
"$program" trial --seconds 60 0> "$folder/alive" > "$folder/output" 2>&1 &
trial=$!
exec 4< "$folder/alive" 5< "$folder/output"
fleet=
while IFS= read -r -t "$timeout_s" line <&5; do
  echo "$line"
  case $line in *'; folder '*) fleet=${line##*; folder } ;; esac
  case $line in 'while it runs: '*) break ;; esac
done
[ -n "$fleet" ] || { echo "the trial did not begin" >&2; exit 1; }
children=$(pgrep -c -P "$trial" || true)
echo "the trial has $children processes"
[ "$children" -eq 5 ] || { echo "wanted a core of three, an agent and a proxy" >&2; exit 1; }
kill -9 "$trial"
wait "$trial" 2> /dev/null || true
trial=
if ! timeout "$timeout_s" cat <&4; then
  echo "processes of a killed trial are still there after $timeout_s s" >&2
  exit 1
fi
echo "the killed trial left no process"
