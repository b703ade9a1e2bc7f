#!/usr/bin/env bash
# Guards against processes that do not start, or end by themselves, because of an obstacle that passes: an address or a
# data folder that a previous instance still holds, or a settings file that is being written. Each case starts a process
# into such an obstacle and checks that it waits, goes on once the obstacle has passed, ends in time if it does not pass,
# and ends at once when SIGTERM arrives meanwhile. Usage: process_start.sh PROGRAM EARLY_SIGNALS_LIBRARY
# FAILING_FOLDER_LIBRARY LOCAL_ADDRESS_LIBRARY
set -uo pipefail
program=$1
early_signals=$2
failing_folder=$3
local_address=$4
folder=$(mktemp -d)
failed=0
pids=()
cleanup() {
  kill -9 "${pids[@]}" 2> /dev/null
  wait 2> /dev/null
  rm -r "$folder"
}
trap cleanup EXIT

fail() {
  echo "FAILED $case_name: $*"
  sed 's/^/    /' "$folder"/*.log 2> /dev/null
  failed=1
}
settings() {  # file, IP address, port of the access or control address, data folder or nothing
  local data=null
  [ -n "${4:-}" ] && data="\"$4\""
  cat > "$1" << JSON
{"nodeName":"n","ip":"$2","zone":"z","zones":{"z":"r"},"internalPorts":[18900,18915],"seedNodes":["$2:18880"],
 "bindAddresses":{"accessPort":"$2:$3","readinessPort":"$2:18882","controlPort":"$2:$3"},"initialAttach":true,
 "dataDir":$data,"faultTolerance":{"machines":0},"timers":{"graceS":1}}
JSON
}
start() {  # name of the log, subcommand, settings; sets `pid`
  "$program" "$2" --settings="$3" > "$folder/$1.log" 2>&1 &
  pid=$!
  pids+=("$pid")
}
running() { [ -e "/proc/$1" ] && ! grep -q '^State:.Z' "/proc/$1/status" 2> /dev/null; }
listens() { (exec 3<> "/dev/tcp/$1/$2") 2> /dev/null; }
await() {  # seconds, command
  local end=$((SECONDS + $1 + 1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.05
  done
}
ended() { ! running "$1"; }
expect_end() {  # process, seconds, expected exit status
  if ! await "$2" ended "$1"; then
    fail "process did not end within $2 s"
    kill -9 "$1"
  fi
  wait "$1" 2> /dev/null
  local status=$?
  [ $status -eq "$3" ] || fail "exit status $status, expected $3"
}
expect_waiting() {  # process
  sleep 0.4
  running "$1" || fail "process ended instead of waiting"
}
last_line() { tail -n 1 "$folder/$1.log"; }

# --- An obstacle that passes ---
network=127.0.31
for program_name in agent proxy controller; do
  case_name="$program_name at an address that is held for a moment"
  address=$network.$((RANDOM % 200 + 10))
  settings "$folder/a.json" "$address" 18880 "$folder/$program_name-a"
  settings "$folder/b.json" "$address" 18880 "$folder/$program_name-b"
  port=18880
  [ $program_name = agent ] && port=18901
  start first $program_name "$folder/a.json"
  first=$pid
  await 5 listens "$address" $port || fail "the first process does not listen"
  start second $program_name "$folder/b.json"
  second=$pid
  expect_waiting "$second"
  kill -HUP "$second"
  kill -USR1 "$second"
  expect_waiting "$second"
  kill -9 "$first"
  await 3 ended "$first"
  await 3 listens "$address" $port || fail "the second process does not listen after the first has ended"
  running "$second" || fail "the second process has ended"
  kill "$second"
  expect_end "$second" 4 0
  [[ "$(last_line second)" == *event=process_ended* ]] || fail "the end has no reason: $(last_line second)"
done

case_name="controller with a data folder that is held for a moment"
settings "$folder/a.json" $network.1 18880 "$folder/common"
settings "$folder/b.json" $network.2 18880 "$folder/common"
start first controller "$folder/a.json"
first=$pid
await 5 listens $network.1 18880 || fail "the first process does not listen"
start second controller "$folder/b.json"
second=$pid
expect_waiting "$second"
kill -9 "$first"
await 5 listens $network.2 18880 || fail "the second process does not listen after the first has ended"
kill -9 "$second"

case_name="agent whose settings are being written"
settings "$folder/whole.json" $network.3 18880
head -c 100 "$folder/whole.json" > "$folder/written.json"
start only agent "$folder/written.json"
expect_waiting "$pid"
mv "$folder/whole.json" "$folder/written.json"
await 3 listens $network.3 18901 || fail "the process does not listen after its settings are complete"
kill "$pid"
expect_end "$pid" 3 0

# --- An address that a connection of the machine has ---
# The operating system chooses the local ports of outgoing connections, and may choose that of a process that is not
# running at the moment.
case_name="agent whose proxy was connected to itself at the agent's address"
settings "$folder/a.json" $network.14 18880
LOCAL_ADDRESS=$network.14:18901 LD_PRELOAD=$local_address start first proxy "$folder/a.json"
proxy=$pid
await 5 listens $network.14 18882 || fail "the proxy does not listen"
sleep 0.3
start second agent "$folder/a.json"
await 5 listens $network.14 18901 || fail "the agent does not listen"
running "$pid" || fail "the agent has ended: $(last_line second)"
kill -9 "$proxy" "$pid"

case_name="proxy whose access address is the local one of its agent's connection"
settings "$folder/c.json" $network.15 18880 "$folder/core"
settings "$folder/a.json" $network.16 18880
sed -i "s/\"seedNodes\":\[[^]]*\]/\"seedNodes\":[\"$network.15:18880\"]/" "$folder/a.json"
start first controller "$folder/c.json"
controller=$pid
await 5 listens $network.15 18900 || fail "the controller does not listen"
LOCAL_ADDRESS=$network.16:18880 LD_PRELOAD=$local_address start second agent "$folder/a.json"
agent=$pid
connected() { grep -q "$(printf ':%04X [0-9A-F]*:%04X 01' 18880 18900)" /proc/net/tcp; }
await 5 connected || fail "the agent is not connected from the address"
start third proxy "$folder/a.json"
await 5 listens $network.16 18880 || fail "the proxy does not listen"
running "$pid" || fail "the proxy has ended: $(last_line third)"
kill -9 "$controller" "$agent" "$pid"

# --- An obstacle that does not pass ---
case_name="second instance of an agent"
settings "$folder/a.json" $network.4 18880
start first agent "$folder/a.json"
first=$pid
await 5 listens $network.4 18901 || fail "the first process does not listen"
start second agent "$folder/a.json"
expect_end "$pid" 5 1
[[ "$(last_line second)" == *"Address already in use"* ]] || fail "the reason is missing: $(last_line second)"

case_name="second instance of a controller"
settings "$folder/a.json" $network.5 18880 "$folder/second"
settings "$folder/b.json" $network.6 18880 "$folder/second"
start first controller "$folder/a.json"
await 5 listens $network.5 18880 || fail "the first process does not listen"
start second controller "$folder/b.json"
expect_end "$pid" 5 1
[[ "$(last_line second)" == *"another process uses this folder"* ]] || fail "the reason is missing: $(last_line second)"

case_name="controller with a wrong data folder"
settings "$folder/a.json" $network.7 18880 "$folder/nowhere/data"
start only controller "$folder/a.json"
expect_end "$pid" 1 1
[[ "$(last_line only)" == *"No such file or directory"* ]] || fail "the reason is missing: $(last_line only)"

case_name="settings that stay incomplete"
head -c 100 "$folder/a.json" > "$folder/b.json"
start only proxy "$folder/b.json"
expect_end "$pid" 7 2
[[ "$(last_line only)" == *"settings are no JSON"* ]] || fail "the reason is missing: $(last_line only)"

# --- SIGTERM while the start waits ---
for program_name in agent proxy controller; do
  case_name="SIGTERM while $program_name waits for its settings"
  start only $program_name "$folder/b.json"
  expect_waiting "$pid"
  kill "$pid"
  expect_end "$pid" 1 0
done
case_name="SIGTERM while a controller waits for its data folder"
settings "$folder/a.json" $network.8 18880 "$folder/held"
settings "$folder/b.json" $network.9 18880 "$folder/held"
start first controller "$folder/a.json"
await 5 listens $network.8 18880 || fail "the first process does not listen"
start second controller "$folder/b.json"
expect_waiting "$pid"
kill "$pid"
expect_end "$pid" 1 0
[[ "$(last_line second)" == *event=process_ended*status=0* ]] || fail "the end has no reason: $(last_line second)"

# --- A disk that fails or does not answer ---
case_name="controller whose disk fails for a moment"
settings "$folder/a.json" $network.13 18880 "$folder/failing"
FAILING_FOLDER_CALLS=10 LD_PRELOAD=$failing_folder start only controller "$folder/a.json"
expect_waiting "$pid"
await 5 listens $network.13 18880 || fail "the process does not listen after its disk has recovered"
kill -9 "$pid"
case_name="SIGTERM while a controller waits for a disk that fails"
FAILING_FOLDER_CALLS=100000 LD_PRELOAD=$failing_folder start only controller "$folder/a.json"
expect_waiting "$pid"
kill "$pid"
expect_end "$pid" 1 0
case_name="SIGTERM while a controller waits for a disk that does not answer"
FAILING_FOLDER_CALLS=-1 LD_PRELOAD=$failing_folder start only controller "$folder/a.json"
expect_waiting "$pid"
kill "$pid"
expect_end "$pid" 1 0

# --- A signal before the program's own code ---
# Constructors of shared libraries run before main. SIGHUP and SIGUSR1 during that time must not end the process.
for program_name in agent proxy controller; do
  case_name="SIGHUP and SIGUSR1 before main of $program_name"
  settings "$folder/a.json" $network.11 18880 "$folder/early"
  LD_PRELOAD=$early_signals start only $program_name "$folder/a.json"
  sleep 0.5
  running "$pid" || fail "a signal before main has ended the process"
  kill "$pid"
  expect_end "$pid" 4 0
done

# --- A log that nobody reads ---
# A write to a full pipe would block the only thread of the process. The proxy logs that it cannot reach an agent.
case_name="log that nobody reads"
settings "$folder/a.json" $network.12 18880
mkfifo "$folder/pipe"
sleep 30 < "$folder/pipe" &
pids+=($!)
exec 4> "$folder/pipe"
timeout 1 cat /dev/zero >&4  # until it is full
"$program" proxy --settings="$folder/a.json" --verbose 2>&4 &
pid=$!
pids+=("$pid")
exec 4>&-
await 5 listens $network.12 18882 || fail "the process does not listen"
sleep 0.5
answer=$(
  exec 3<> /dev/tcp/$network.12/18882
  printf 'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n' >&3
  read -r -t 2 line <&3
  echo "$line"
)
[[ "$answer" == *503* ]] || fail "the process does not answer: '$answer'"
kill "$pid"
expect_end "$pid" 4 0

# --- A crash leaves its reason ---
case_name="crash"
settings "$folder/a.json" $network.10 18880
start only agent "$folder/a.json"
await 5 listens $network.10 18901 || fail "the process does not listen"
kill -SEGV "$pid"
expect_end "$pid" 1 139
[[ "$(last_line only)" == *signal=SIGSEGV* ]] || fail "the crash has no reason: $(last_line only)"

exit $failed
