#!/usr/bin/env bash
# Runs one controller as a real process on loopback and uses `zinccleat rollout`: begin, a conflicting begin, status,
# watch and revert, with SIGKILL and a restart of the controller in between. Usage: rollout.sh PROGRAM
set -euo pipefail
program=$1
dir=$(mktemp -d)
core=
finish() { kill -9 "$core" 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
address=127.$((16 + $$ % 224)).9.1  # chosen by process id, so that parallel runs use different addresses
control=$address:8457
bad=0
wrong() { echo "$*"; bad=1; }
mkdir "$dir/data"
cat > "$dir/core.json" <<J
{"nodeName":"core","role":"controller","ip":"$address","zone":"z","region":"r","zones":{"z":"r"},
 "bindAddresses":{"controlPort":"$control"},"internalPorts":[7900,7915],"seedNodes":["$control"],"initialAttach":true,
 "quorumMember":true,"dataDir":"$dir/data","heartbeatMs":1200,"faultTolerance":{"machines":0},"timers":{"graceS":5}}
J
start() { "$program" controller --settings="$dir/core.json" >> "$dir/core.log" 2>&1 & core=$!; }
# Sends the configuration and prints the HTTP status, or nothing if there is no response.
configure() {
  local body='{"configVersion":1,"routeTable":[],"serviceTable":[{"label":"models"}]}'
  (exec 3<>"/dev/tcp/$address/8457" && printf 'POST /v1/Configuration.Replace HTTP/1.1\r\nHost: h\r\nX-Base-Version: 0\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&3 && read -r -t 2 _ status _ <&3 && echo "$status") 2> /dev/null || true
}
until_true() {  # timeout in seconds, command...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || { cat "$dir/core.log"; echo "timeout; the command did not succeed: $*"; exit 1; }
  done
}
expect() {  # expected exit status, text that the output must contain, arguments of rollout
  local expected_status=$1 expected_part=$2 output status
  shift 2
  output=$("$program" rollout "$@" 2>&1) && status=0 || status=$?
  if [ "$status" -ne "$expected_status" ] || [[ "$output" != *"$expected_part"* ]]; then
    wrong "rollout $*: exit status $status, expected $expected_status and '$expected_part' in the output; output: $output"
  fi
}
configured() { [ "$(configure)" = 200 ]; }
answers() { "$program" rollout status models "$control" > /dev/null 2>&1; }

start
until_true 60 configured
expect 1 "no rollout of this service" status models "$control"
expect 1 "no service 'others'" begin others v2 60 "$control"
expect 0 "acknowledged" begin models v2 60 "$control"
expect 0 "acknowledged" begin models v2 60 "$control"
expect 1 "409" begin models v3 60 "$control"
expect 0 "in_progress" status models "$control"
expect 0 '"targetRevision":"v2"' status models "$control" --json

kill -9 "$core"
start
until_true 60 answers
expect 0 "in_progress" status models "$control"
"$program" rollout watch models "$control" > "$dir/watch.txt" 2>&1 & watch=$!
expect 0 "acknowledged" revert models "$control"
wait "$watch" && wrong "watch exited with status 0 although the rollout was reverted"
grep -q "an operator took it back" "$dir/watch.txt" || wrong "watch did not print the reason of the revert: $(cat "$dir/watch.txt")"
expect 0 "reverted" status models "$control"

# A rollout without a runner of the new revision collects no evidence and is reverted before its duration is over.
expect 0 "acknowledged" begin models v3 1 "$control"
expect 1 "too few runners" watch models "$control"
[ $bad -ne 0 ] || echo "the rollout was begun, survived a restart, was reverted by an operator, and was reverted without runners"
exit $bad
