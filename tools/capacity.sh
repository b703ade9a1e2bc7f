#!/usr/bin/env bash
# Plays the scale run at one size after the other and writes a line of JSON for each: docs/capacity/measured.jsonl.
# Usage: tools/capacity.sh [PROGRAM] [OUT]   about four minutes; loopback only, ends by itself.
set -euo pipefail
program=${1:-target/zinccleat}
out=${2:-docs/capacity/measured.jsonl}
: > "$out"
play() { "$program" scale-run --json --set "seconds=${2:-8},$1" >> "$out" || echo "not as expected: $1" >&2; }
for n in 10 40 100 200 330; do play "nodes=$n,requestsPerS=0,changesPerMinute=0"; done
for t in 80 1000 3000 6100; do play "nodes=40,tenants=$t,requestsPerS=200,changesPerMinute=40"; done
for r in 0 100 300 600; do play "nodes=10,runners=$r,requestsPerS=0,changesPerMinute=0"; done
for q in 100 500 1500 3000 6900; do play "nodes=100,tenants=1000,requestsPerS=$q,changesPerMinute=0"; done
for p in 10 200 1000; do play "nodes=40,routes=$p,requestsPerS=0,changesPerMinute=15"; done
for c in 3 5 8; do play "core=$c,nodes=100,requestsPerS=300,changesPerMinute=15"; done
# An ordinary day's troubles pressed into 20 s: 220 restarts of a day are one in six minutes.
play "nodes=100,runners=100,requestsPerS=500,changesPerMinute=20,restarts=20,runnerEnds=20" 20
play "nodes=100,runners=100,requestsPerS=500,changesPerMinute=20,coreKills=3" 20
# The target: its nodes, runners, tenants and requests at once; changes pressed to one in three seconds, restarts too.
play "nodes=330,runners=600,tenants=6100,routes=200,requestsPerS=6900,changesPerMinute=20,restarts=4" 20
