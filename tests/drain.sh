#!/usr/bin/env bash
# Runs one controller and one access machine (agent and proxy) as real processes on loopback. SIGHUP must not stop a
# process. After SIGTERM the proxy reports that it is not ready, still answers new requests at first, and exits within
# graceS. Usage: drain.sh PROGRAM

set -euo pipefail
program=$1
dir=$(mktemp -d)
pids=()
finish() { kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
network=127.$((16 + $$ % 224)).7  # chosen by process id, so that parallel runs use different addresses
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
# Prints the HTTP status of one request on a new connection, or nothing if there is no response.
ask() {  # host port request-line headers body
  (exec 3<>"/dev/tcp/$1/$2" && printf '%s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n%bContent-Length: %d\r\n\r\n%s' \
    "$3" "${4:-}" "${#5}" "$5" >&3 && read -r -t 2 _ status _ <&3 && echo "$status") 2> /dev/null || true
}
ready() { ask "$1" 8446 'GET /v1/readiness' '' ''; }
request() { ask "$1" 8445 'POST /nowhere/x' 'X-Attempt-Id: a1\r\n' ''; }
until_is() {  # expected output, timeout in seconds, command...
  local wanted=$1 end=$((SECONDS + $2))
  shift 2
  while [ "$("$@")" != "$wanted" ]; do
    [ $SECONDS -lt $end ] || { cat "$dir"/*.log; echo "timeout; the command did not print $wanted: $*"; exit 1; }
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
[ "$(request $ip)" = 404 ] || wrong "no response after SIGHUP"
[ "$(ready $ip)" = 200 ] || wrong "not ready after SIGHUP"
! grep -q settings_unreadable "$dir"/*.log || wrong "the file named by --settings was not read again after SIGHUP"

from=$SECONDS
kill -TERM "${access[@]}"
until_is 503 1 ready $ip
[ "$(request $ip)" = 404 ] || wrong "no response right after SIGTERM"
while kill -0 "${access[1]}" 2> /dev/null; do
  [ "$(ready $ip)" != 200 ] || wrong "the proxy reports ready again during its shutdown"
  [ $((SECONDS - from)) -le $((grace + 1)) ] || { wrong "the proxy is still running after graceS"; break; }
done
for pid in "${access[@]}"; do
  wait "$pid" || wrong "a process exited with status $?"
done
[ $((SECONDS - from)) -le $((grace + 1)) ] || wrong "the last process exited $((SECONDS - from)) s after SIGTERM"
[ $bad -ne 0 ] || echo "after SIGTERM the proxy was not ready, still answered, and exited within graceS"
exit $bad
