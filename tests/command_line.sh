#!/usr/bin/env bash
# What a newcomer may mistype: one clear line, the same exit status for the same kind of error. Usage: command_line.sh PROGRAM
set -uo pipefail
program=$1
bad=0
want() {  # status, a word of the line, arguments
  local status=$1 word=$2
  shift 2
  local said got
  said=$("$program" "$@" 2>&1)
  got=$?
  if [ $got -ne "$status" ] || [[ "$said" != *"$word"* ]]; then
    echo "zinccleat $*: status $got, wanted $status; said: $said"
    bad=1
  fi
}
want 0 SUBCOMMAND --help
want 0 SUBCOMMAND trial --help
want 0 frames --version
want 2 "is for: runbook" trial --dry
want 2 "no subcommand knows" status --foo
want 2 "3 to 600" trial --seconds 1
want 2 "unknown subcommand" nope
want 2 "out of bounds 'nodes'" scale-run --set nodes=5000
want 2 "unknown field 'tenents'" scale-run --set tenents=5
want 2 "no name=value" scale-run --set nodes
want 2 "cannot read" scale-run /nowhere.json
want 2 "cannot read" proxy --settings=/nowhere.json
want 2 "say which nodes" status
want 2 "wants one FILE" runbook
want 2 "unknown kind" check nonsense /dev/null
want 1 "settings" check settings /dev/null
exit $bad
