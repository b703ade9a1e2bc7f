#!/usr/bin/env bash
# An access machine with a core of one, as real processes on loopback: SIGHUP ends nothing; from SIGTERM on its proxy is
# not ready, still answers what comes at first, and ends within graceS. Usage: drain.sh PROGRAM

set -euo pipefail
program=$1
dir=$(mktemp -d)
pids=()
finish() { kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
network=127.$((16 + $$ % 224)).7  # of its own, so that runs beside each other don't meet
grace=5
bad=0
wrong() { echo "$*"; bad=1; }
settings() {  # name ip role addresses dataDir
  cat > "$dir/$1.json" <<J
{"nodeName":"$1","role":"$3","ip":"$2","zone":"z","region":"r","zones":{"z":"r"},"bindAddresses":{$4},
 "internalPorts":[7880,7895],"seedNodes":["$network.1:8447"],"initialAttach":true,"quorumMember":true,"dataDir":$5,"heartbeatMs":1200,
 "faultTolerance":{"machines":0},"timers":{"graceS":$grace}}
J
}
start() {  # role name
  "$program" "$1" --settings="$dir/$2.json" >> "$dir/$2.log" 2>&1 &
  pids+=($!)
}
# The status of one request on a connection of its own; empty if there is no answer. Host, port, request line, heads, body.
ask() {
  (exec 3<>"/dev/tcp/$1/$2" && printf '%s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n%bContent-Length: %d\r\n\r\n%s' \
    "$3" "${4:-}" "${#5}" "$5" >&3 && read -r -t 2 _ status _ <&3 && echo "$status") 2> /dev/null || true
}
ready() { ask "$1" 8446 'GET /v1/readiness' '' ''; }
request() { ask "$1" 8445 'POST /nowhere/x' 'X-Attempt-Id: a1\r\n' ''; }
until_is() {  # wanted, seconds, command...
  local wanted=$1 end=$((SECONDS + $2))
  shift 2
  while [ "$("$@")" != "$wanted" ]; do
    [ $SECONDS -lt $end ] || { cat "$dir"/*.log; echo "never $wanted: $*"; exit 1; }
  done
}

mkdir "$dir/core"
settings core $network.1 controller "\"controlPort\":\"$network.1:8447\"" "\"$dir/core\""
start controller core
configuration='{"configVersion":1,"routeTable":[{"label":"a","authority":"h.example","pathPrefix":"/a/","routeType":"safe","expiryMs":2000,"targetService":"s"}],"serviceTable":[{"label":"s"}]}'
until_is 200 90 ask $network.1 8447 'POST /v1/Configuration.Replace' 'X-Base-Version: 0\r\n' "$configuration"
ip=$network.2
settings access $ip proxy "\"accessPort\":\"$ip:8445\",\"readinessPort\":\"$ip:8446\"" null
start agent access
start proxy access
access=("${pids[@]:1}")
until_is 200 90 ready $ip
until_is 404 5 request $ip

kill -HUP "${pids[@]}"
[ "$(request $ip)" = 404 ] || wrong "no answer after SIGHUP"
[ "$(ready $ip)" = 200 ] || wrong "not ready after SIGHUP"
! grep -q settings_unreadable "$dir"/*.log || wrong "the settings of --settings were not read again"

from=$SECONDS
kill -TERM "${access[@]}"
until_is 503 1 ready $ip
[ "$(request $ip)" = 404 ] || wrong "no answer right after SIGTERM"
while kill -0 "${access[1]}" 2> /dev/null; do
  [ "$(ready $ip)" != 200 ] || wrong "ready again while it leaves"
  [ $((SECONDS - from)) -le $((grace + 1)) ] || { wrong "still running after graceS"; break; }
done
for pid in "${access[@]}"; do
  wait "$pid" || wrong "a process ended with status $?"
done
[ $((SECONDS - from)) -le $((grace + 1)) ] || wrong "ended $((SECONDS - from)) s after SIGTERM"
[ $bad -ne 0 ] || echo "not ready from SIGTERM on, answered meanwhile, ended in time"
exit $bad
