#!/usr/bin/env bash
# Checks that `zinccleat trial` leaves no child process running after the trial process is killed with SIGKILL.
# Usage: killed_trial.sh PROGRAM
# The standard input of the trial is the write end of a pipe, which all its child processes inherit. The read end
# therefore reports end of file only when the last of these processes has exited.
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
[ -n "$fleet" ] || { echo "the trial did not start" >&2; exit 1; }
children=$(pgrep -c -P "$trial" || true)
echo "the trial has $children processes"
[ "$children" -eq 5 ] || { echo "expected 5 processes: three controllers, an agent and a proxy" >&2; exit 1; }
kill -9 "$trial"
wait "$trial" 2> /dev/null || true
trial=
if ! timeout "$timeout_s" cat <&4; then
  echo "processes of the killed trial are still running after $timeout_s s" >&2
  exit 1
fi
echo "the killed trial left no process running"
