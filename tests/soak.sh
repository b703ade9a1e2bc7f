#!/usr/bin/env bash
# Runs short soak tests with fixed seeds, one after the other: planned operations only, with killed processes, with disk
# and network faults, with frozen processes, with the lost disk of the only controller that answers, with
# starts that meet obstacles and signals, and with a larger fleet. tests/soak/soak_run.hpp describes the load and the faults of a run,
# tests/soak/observations.hpp the rules that are checked. Usage: soak.sh SOAK_PROGRAM PROGRAM
set -uo pipefail
soak=$1
program=$2
status=0
"$soak" "$program" --seed=101 --seconds=10 || status=1
"$soak" "$program" --seed=102 --seconds=10 || status=1
"$soak" "$program" --seed=103 --seconds=10 --kills || status=1
"$soak" "$program" --seed=105 --seconds=10 --disks --cuts || status=1
"$soak" "$program" --seed=106 --seconds=10 --freezes || status=1
"$soak" "$program" --seed=1 --seconds=26 --losses || status=1
"$soak" "$program" --seed=107 --seconds=10 --access=6 --starts || status=1
"$soak" "$program" --seed=104 --seconds=10 --core=5 --access=6 --runners=10 --clients=60 || status=1
exit $status
