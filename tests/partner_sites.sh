#!/usr/bin/env bash
# Runs two partner sites on loopback, each with one controller: they exchange hints, and a request with a wrong seal
# is rejected.
# Usage: partner_sites.sh PROGRAM
set -euo pipefail
program=$1
dir=$(mktemp -d)
pids=()
finish() { kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
network=127.$((16 + $$ % 224)).6  # chosen by process id, so that parallel runs use different addresses
secret=$(printf 'ab%.0s' {1..32})
site() {  # name, ip address, ip address of the partner site
  mkdir -p "$dir/$1"
  cat > "$dir/$1.json" <<J
{"nodeName":"$1","role":"controller","ip":"$2","zone":"z","region":"r","zones":{"z":"r"},"bindAddresses":{"controlPort":"$2:8437"},
 "internalPorts":[7860,7875],"seedNodes":["$2:8437"],"initialAttach":true,"quorumMember":true,"dataDir":"$dir/$1","heartbeatMs":1200,
 "faultTolerance":{"machines":0},"timers":{},
 "partnerSite":{"name":"other","secret":"$secret","control":["$3:8437"],"access":["$3:8405"]}}
J
  "$program" check settings "$dir/$1.json"
  "$program" controller --settings="$dir/$1.json" > "$dir/$1.log" 2>&1 &
  pids+=($!)
}
site here $network.1 $network.2
site there $network.2 $network.1
known() { "$program" status "$1:8437" --json | sed -n 's/.*"hintsKnown":\([0-9]*\).*/\1/p'; }
while [ $SECONDS -lt 40 ]; do
  a=$(known $network.1 || true); b=$(known $network.2 || true)
  if [ "${a:-0}" -ge 64 ] && [ "${b:-0}" -ge 64 ]; then break; fi
done
[ "${a:-0}" -ge 64 ] && [ "${b:-0}" -ge 64 ] || { echo "the sites have not exchanged their hints: ${a:-} ${b:-}"; cat "$dir"/*.log; exit 1; }
answer=$(exec 3<>/dev/tcp/$network.1/8437; printf 'POST /v1/Hints.Exchange HTTP/1.1\r\nHost: x\r\nX-Hint-Seal: 00\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc' >&3; head -1 <&3)
case "$answer" in *403*) ;; *) echo "a request with a wrong seal was not rejected: $answer"; exit 1 ;; esac
echo "both sites have each other's hints; a request with a wrong seal was rejected"
