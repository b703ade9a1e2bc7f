#!/usr/bin/env bash
# Runs three controllers as real processes on loopback and uses locks, numbers, cells, watches and replicated counters
# through the command line. Acknowledged operations must survive a stop of the leaseholder, SIGKILL of all three
# controllers and the loss of one disk. An increment is acknowledged by one controller alone across a network partition,
# and waits if the others are killed or stand still. Usage: coordination.sh PROGRAM FAULTS_PROGRAM
set -euo pipefail
program=$1
faults=$2
library=$(dirname "$faults")/libzinccleat_soak_faults.so
dir=$(mktemp -d)
declare -A pids
finish() { kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
network=127.$((16 + $$ % 224)).9  # chosen by process id, so that parallel runs use different addresses
nodes=("$network.1:8447" "$network.2:8447" "$network.3:8447")
seeds="\"${nodes[0]}\",\"${nodes[1]}\",\"${nodes[2]}\""
bad=0
wrong() { echo "$*"; bad=1; }
start() {  # number initialAttach
  mkdir -p "$dir/core$1"
  cat > "$dir/core$1.json" <<J
{"nodeName":"core$1","role":"controller","ip":"$network.$1","zone":"z","region":"r","zones":{"z":"r"},
 "bindAddresses":{"controlPort":"$network.$1:8447"},"internalPorts":[7860,7875],"seedNodes":[$seeds],"initialAttach":$2,
 "quorumMember":true,"dataDir":"$dir/core$1","heartbeatMs":1200,"faultTolerance":{"machines":1},"timers":{"graceS":5,"historyS":20}}
J
  ZINCCLEAT_SOAK_FAULTS="$dir/faults" LD_PRELOAD="$library" \
    "$program" controller --settings="$dir/core$1.json" >> "$dir/core$1.log" 2>&1 &
  pids[$1]=$!
}
stop() {  # signal numbers...
  local signal=$1 number
  shift
  for number in "$@"; do kill "-$signal" "${pids[$number]}" 2> /dev/null || true; done
  for number in "$@"; do wait "${pids[$number]}" 2> /dev/null || true; done
}
# Repeats a command until it succeeds, for at most 20 s, and prints its output.
answer() {
  local end=$((SECONDS + 20)) output
  until output=$("$program" "$@" "${nodes[@]}" 2> "$dir/error"); do
    [ $SECONDS -lt $end ] || { echo "timeout; the command did not succeed: $*: $(cat "$dir/error")"; cat "$dir"/*.log; exit 1; }
  done
  echo "$output"
}
# Expects that a command is rejected with an HTTP status. The command is repeated for up to 20 s, because a node that is
# starting, or a shard without a leaseholder, cannot reject it yet. A command that succeeds is an error at once.
refused() {  # HTTP status, arguments of the program
  local status=$1 end=$((SECONDS + 20))
  shift
  until "$program" "$@" "${nodes[@]}" > "$dir/output" 2>&1 || grep -q "status $status" "$dir/output"; do
    [ $SECONDS -lt $end ] || break
  done
  grep -q "status $status" "$dir/output" || wrong "not refused with $status: $*: $(cat "$dir/output")"
}
number() { sed 's/[^0-9]//g'; }
# Loses all packets between the first node and the others ("cut"), or ends that ("join").
links() { "$faults" "$dir" "$1" core1="$network.1" core2="$network.2" core3="$network.3"; }

links join
for i in 1 2 3; do start $i true; done
fence=$(answer lock begin l1 a 600000 | number)
refused 409 lock begin l1 b 1000
first=$(answer number n1 | number)
[ "$(answer cells put g1.a v1 any)" = '{"revision":1}' ] || wrong "the first put does not have revision 1"
[ "$(answer cells put g1.b v2 0)" = '{"revision":2}' ] || wrong "the second put does not have revision 2"
refused 412 cells put g1.b v3 7
refused 404 cells get g1.none
timeout 3 "$program" watch g1. 1 "${nodes[@]}" > "$dir/watch" || true
grep -q '"label":"g1.b"' "$dir/watch" || wrong "the watch did not report the second put: $(cat "$dir/watch")"
"$program" shards "${nodes[@]}" | grep -q 'leader' || wrong "no leaseholder in the table of shards"

[ "$(answer tally add t1 5c0e7a21d94b36f8 4)" = '{}' ] || wrong "an increment is not acknowledged"
[ "$(answer tally add t1 5c0e7a21d94b36f8 4)" = '{}' ] || wrong "a repeated increment is not acknowledged"
refused 400 tally add t1 x 4.5
refused 400 evacuation begin nowhere
[ "$(answer evacuation begin z)" = '{}' ] || wrong "an evacuation is not acknowledged"
[ "$(answer evacuation release z)" = '{}' ] || wrong "the end of an evacuation is not acknowledged"
"$program" tally sides "${nodes[@]}" | grep -q 'true' || wrong "no reachable node in the output of tally sides"

# Expects that one node reads this total of counter t1 within 10 s.
expect_total() {  # node total
  local end=$((SECONDS + 10)) output=
  until output=$("$program" tally get t1 "$1" 2> "$dir/error") && [ "$output" = "{\"total\":$2}" ]; do
    [ $SECONDS -lt $end ] || { wrong "$1 reads $output, not $2: $(cat "$dir/error")"; return; }
  done
}

# Expects that each operation acknowledged so far is still in effect. The argument describes the preceding fault.
check() {
  refused 409 lock begin l1 b 1000
  [ "$(answer lock renew l1 a "$fence" 600000)" = '{}' ] || wrong "$1: the lock holder lost the lock"
  local next
  next=$(answer number n1 | number)
  [ "$next" -gt "$first" ] || wrong "$1: number $next after $first"
  first=$next
  [ "$(answer cells put g1.a v1 any)" = '{"revision":1}' ] || wrong "$1: a repeated put has another revision"
  [ "$(answer cells get g1.b)" = '{"value":"v2","revision":2}' ] || wrong "$1: a cell does not have the value of the last put"
  for node in "${nodes[@]}"; do expect_total "$node" "$total"; done
}
# Waits until all three nodes vote in the fleet's log and in the shards' logs again: only then has a lost disk been
# restored, and another one may be lost.
await_voters() {
  local end=$((SECONDS + 20))
  until [ "$({ "$program" status "${nodes[@]}" && "$program" shards "${nodes[@]}"; } 2> "$dir/error" | grep -cE ' (leader|follower) ')" = 9 ]; do
    [ $SECONDS -lt $end ] || { wrong "not all nodes vote again: $("$program" status "${nodes[@]}")"; return; }
    sleep 0.2
  done
}
total=4
stop TERM 1
start 1 false
check "one controller stopped by SIGTERM"
stop KILL 1 2 3
for i in 1 2 3; do start $i false; done
check "all controllers stopped by SIGKILL"
stop KILL 2
rm -rf "$dir/core2"
start 2 false
check "one controller lost its disk"
await_voters
# One node without a majority accepts and reads counter increments across a partition, and rejects operations that need
# a majority. The other side goes on as well.
links cut
[ "$(answer tally add t1 91bd3f06e4402b7d 5)" = '{}' ] || wrong "a node without a majority does not accept an increment"
expect_total "${nodes[0]}" 9
if "$program" cells put g1.b v9 any "${nodes[0]}" > "$dir/output" 2>&1; then
  wrong "a node without a majority accepts a put: $(cat "$dir/output")"
fi
"$program" tally add t1 6f0be4d81c37a952 3 "${nodes[1]}" > /dev/null || wrong "the other side does not accept an increment"
links join
total=12
check "two sides of a partition joined"
# Expects that the first node acknowledges no increment and accepts no put while the others are silent without a
# partition, that it acknowledges the same increment once they are back, and that the loss of its disk loses nothing.
expect_wait() {  # id, what the others are
  local attempt
  for attempt in 1 2 3; do
    if "$program" tally add t1 "$1" 7 "${nodes[0]}" > "$dir/output" 2>&1; then
      wrong "attempt $attempt: an increment is acknowledged on one disk while the others are $2"
    fi
  done
  if "$program" cells put g1.b v9 any "${nodes[0]}" > "$dir/output" 2>&1; then
    wrong "a node accepts a put while the others are $2: $(cat "$dir/output")"
  fi
}
expect_recovery() {  # id, what the others were
  [ "$(answer tally add t1 "$1" 7)" = '{}' ] || wrong "a repeated increment is not acknowledged after the others were $2"
  stop KILL 1
  rm -rf "$dir/core1"
  start 1 false
  total=$((total + 7))
  check "two nodes came back that were $2, and the one that waited for them lost its disk"
  await_voters
}
stop KILL 2 3
expect_wait 2f60c1d7a93e5b84 killed
expect_total "${nodes[0]}" 19
start 2 false
start 3 false
expect_recovery 2f60c1d7a93e5b84 killed
kill -STOP "${pids[2]}" "${pids[3]}"
expect_wait 84d0e7c95a2b613f stopped
kill -CONT "${pids[2]}" "${pids[3]}"
expect_recovery 84d0e7c95a2b613f stopped
answer lock release l1 a "$fence" > /dev/null
second=$(answer lock begin l1 b 1000 | number)
[ "$second" -gt "$fence" ] || wrong "fence $second after $fence"
[ $bad -ne 0 ] || echo "acknowledged locks, numbers, cells and increments survived a stop, a kill of all controllers, lost disks and a partition"
exit $bad
