#!/usr/bin/env bash
# Checks that invalid command lines print one line that names the error, and that errors of the same kind give the same
# exit status.
# Usage: command_line.sh PROGRAM
set -uo pipefail
program=$1
failed=0
expect() {  # expected exit status, text that the output must contain, arguments of the program
  local expected_status=$1 expected_part=$2
  shift 2
  local output status
  output=$("$program" "$@" 2>&1)
  status=$?
  if [ $status -ne "$expected_status" ] || [[ "$output" != *"$expected_part"* ]]; then
    echo "zinccleat $*: exit status $status, expected $expected_status and '$expected_part' in the output; output: $output"
    failed=1
  fi
}
expect 0 SUBCOMMAND --help
expect 0 SUBCOMMAND trial --help
expect 0 SUBCOMMAND -h
expect 0 frames --version
expect 2 "is for: runbook" trial --dry
expect 2 "is for: runbook" trial --nodry
expect 2 "no subcommand knows" status --foo
expect 2 "no subcommand knows the flag '--'" status --=x
expect 2 "3 to 600" trial --seconds 1
expect 2 "unknown subcommand" nope
expect 2 "unknown subcommand ''"
expect 2 "cannot read" proxy --settings=/nowhere.json
expect 2 "say which nodes" status
expect 2 "say which nodes" tally sides
expect 2 "say which nodes" functions
expect 1 "127.0.0.1:1" functions 127.0.0.1:1
expect 2 "wants tally add NAME INSTANCE_ID AMOUNT" tally add t1 x 4
expect 2 "or tally get NAME" tally
expect 2 "wants evacuation begin ZONE" evacuation begin z
expect 2 "wants begin SERVICE" rollout
expect 2 "wants begin SERVICE" rollout begin s v2
expect 2 "say which nodes" rollout status s
expect 2 "unknown verb" rollout pause s 127.0.0.1:1
expect 2 "1 to 86400" rollout begin s v2 0 127.0.0.1:1
expect 2 "no JSON" rollout begin s v2 soon 127.0.0.1:1
expect 1 "zinccleat rollout:" rollout status s 127.0.0.1:1
expect 2 "wants lock begin" lock
expect 2 "or lock renew" lock pause l a
expect 2 "wants lock begin NAME" lock begin l a 3000
expect 2 "wants lock renew NAME" lock renew l a 1 3000
expect 2 "wants number NAME" number n
expect 2 "wants cells put NAME" cells put c v any
expect 2 "wants watch GROUP" watch g. 0
expect 2 "say which nodes" shards
expect 1 "zinccleat:" lock begin l a 3000 127.0.0.1:1
expect 1 "zinccleat:" cells get c 127.0.0.1:1
expect 1 "shard" shards 127.0.0.1:1
expect 2 "is for: status rollout shards" lock --json
expect 1 "rollout is no JSON" check rollout /dev/null
expect 2 "wants one FILE" runbook
expect 2 "cannot read 'runbooks/nowhere.run'" runbook nowhere
expect 2 "no name=value" runbook /dev/null --set core
expect 2 "no step in it" runbook /dev/null
expect 2 "wants KIND FILE" check settings
expect 2 "unknown kind" check nonsense /dev/null
expect 1 "cannot read" check nonsense /nowhere
expect 1 "settings" check settings /dev/null
expect 1 "configuration" check configuration /dev/null
expect 1 "no step in it" check runbook /dev/null
folder=$(mktemp -d)
echo '{"configVersion":1,"routeTable":[],"serviceTable":[],"subscribers":[]}' > "$folder/no-tenant.json"
echo '{"configVersion":1,"routeTable":[],"serviceTable":[]}' > "$folder/no-list.json"
expect 0 "no key is valid" check configuration "$folder/no-tenant.json"
if "$program" check configuration "$folder/no-list.json" | grep -q "no key is valid"; then
  echo "check takes a missing list of subscribers for an empty one"
  failed=1
fi
rm -r "$folder"
# `status --json` escapes the text of an unusable address, so that the report stays valid JSON.
report=$("$program" status --json 'a"b:1')
if [[ "$report" != *'"node":"a\"b:1"'* ]]; then
  echo "status --json does not escape a quotation mark in an address: $report"
  failed=1
fi
exit $failed
