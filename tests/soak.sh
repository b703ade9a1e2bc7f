#!/usr/bin/env bash
# Short soak runs with fixed seeds, one after the other: planned work alone, with kills, with faults of disks and links, and a
# larger fleet. What is played and
# checked: tests/soak/soak_run.hpp, tests/soak/observations.hpp. Usage: soak.sh SOAK_PROGRAM PROGRAM
set -uo pipefail
soak=$1
program=$2
status=0
"$soak" "$program" --seed=101 --seconds=10 || status=1
"$soak" "$program" --seed=102 --seconds=10 || status=1
"$soak" "$program" --seed=103 --seconds=10 --kills || status=1
"$soak" "$program" --seed=105 --seconds=10 --disks --cuts || status=1
"$soak" "$program" --seed=104 --seconds=10 --core=5 --access=6 --runners=10 --clients=60 || status=1
exit $status
