#!/usr/bin/env bash
# Plays the days of tests/days on the bench and prints a table: day, site, verdict, broken rules.
#
# Usage: tools/play_days.sh [--bench PATH] [--jobs N] [--day NAME]... [--seeds N] [--why TEXT] [SITE...]
#
#   --bench PATH  the bench; else $FLEETBENCH, else the last one in the users' folder beside this tree
#   --jobs N      days played at once (1)
#   --day NAME    only this day (without .toml); may be given again
#   --seeds N     each day with its own seed and with N - 1 more, which depend on the day's seed alone (1)
#   --why TEXT    for the journal
#   SITE...       site files; without any, the users' small ones
#
# Verdicts: passed; BROKEN (a rule); short (of the gate, with no rule broken); not played (the bench gave no result).
# Exit status: 0 if every day passed, 1 if any did not, 2 for bad arguments. Where no bench is found nothing is played:
# this is said in one line, and the exit status is 0.
set -euo pipefail
caller=$PWD
root=$(cd "$(dirname "$0")/.." && pwd)
users=$root/../given/kit

refuse() { echo "play_days: $*" >&2; exit 2; }
absolute() { case $1 in /*) echo "$1" ;; *) echo "$caller/$1" ;; esac }

bench=${FLEETBENCH:-} jobs=1 seeds=1 why='The days of tests/days'
days=() sites=()
while (($#)); do
  case $1 in
    --bench | --jobs | --day | --seeds | --why) (($# > 1)) || refuse "$1 wants a value" ;;
  esac
  case $1 in
    --bench) bench=$(absolute "$2"); shift ;;
    --jobs) jobs=$2; shift ;;
    --day) days+=("$2"); shift ;;
    --seeds) seeds=$2; shift ;;
    --why) why=$2; shift ;;
    -h | --help) sed -n '2,/^set /{/^set /d;s/^# \{0,1\}//;p}' "$0"; exit 0 ;;
    -*) refuse "unknown option $1" ;;
    *) sites+=("$(absolute "$1")") ;;
  esac
  shift
done
[[ $jobs =~ ^[1-9][0-9]*$ ]] || refuse "--jobs wants a whole number from 1, not '$jobs'"
[[ $seeds =~ ^[1-9][0-9]*$ ]] || refuse "--seeds wants a whole number from 1, not '$seeds'"
cd "$root"
if ((${#days[@]} == 0)); then
  for f in tests/days/*.toml; do days+=("$(basename "$f" .toml)"); done
fi
for day in "${days[@]}"; do [[ -f tests/days/$day.toml ]] || refuse "no day tests/days/$day.toml"; done

# The benches that came later, under more/, know more kinds of trouble than the first one.
if [[ -z $bench ]]; then
  for b in "$users"/bin/fleetbench "$users"/more/bench-*/bin/fleetbench; do
    if [[ -x $b ]]; then bench=$b; fi
  done
fi
if [[ -z $bench || ! -x $bench ]]; then
  echo "play_days: bench not found${bench:+ at $bench}, nothing played"
  exit 0
fi
if ((${#sites[@]} == 0)); then
  for f in "$users"/sites/*.toml; do
    if [[ -f $f ]]; then sites+=("$f"); fi
  done
fi
((${#sites[@]})) || refuse "no site file given, and none in the users' folder"
for site in "${sites[@]}"; do [[ -f $site ]] || refuse "no site file $site"; done

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build > "$out/build" 2>&1 || { cat "$out/build" >&2; echo "play_days: the bench could not build this tree" >&2; exit 1; }

# Plays one day: DAY SITE SEED FILE; FILE gets the row of the table and the first words of each broken rule.
play() {
  local day=$1 site=$2 seed=$3 to=$4 verdict=passed rules='' name
  name=$(basename "$site" .toml)
  # A day that fails must not stop the others: the verdict tells.
  "$BENCH" run "$site" "tests/days/$day.toml" --seed "$seed" --why "$WHY: $day, seed $seed" > "$to.text" 2>&1 || true
  rules=$(sed -n 's/^rules broken: //p' "$to.text")
  if ! grep -q '^to play it took' "$to.text"; then verdict='not played'
  elif [[ -n $rules ]]; then verdict=BROKEN
  elif grep -qE '^(short of the gate|fault)' "$to.text"; then verdict=short
  fi
  {
    printf '%-26s %-22s %12s  %-11s %s\n' "$day" "$name" "$seed" "$verdict" "${rules:--}"
    if [[ $verdict == 'not played' ]]; then tail -n 3 "$to.text" | cut -c1-150 | sed 's/^/    /'; fi
    # The bench tells the first break of each rule in a line that begins with the rule's name.
    grep -E '^([A-Z]{3,} at |short of the gate|fault)' "$to.text" | cut -c1-150 | sed 's/^/    /' || true
  } > "$to.row"
  [[ $verdict == passed ]] || echo "$day $name $seed" > "$to.red"
}
export -f play
export BENCH=$bench WHY=$why

n=0
for site in "${sites[@]}"; do
  for day in "${days[@]}"; do
    own=$(sed -n 's/^seed *= *\([0-9]\{1,\}\).*/\1/p' "tests/days/$day.toml" | head -1)
    [[ -n $own ]] || refuse "tests/days/$day.toml names no seed"
    for ((i = 0; i < seeds; ++i)); do
      printf '%s\0%s\0%s\0%s\0' "$day" "$site" "$((own + i * 1009))" "$out/$(printf '%04d' $n)"
      n=$((n + 1))
    done
  done
done | xargs -0 -n 4 -P "$jobs" bash -c 'play "$@"' play

printf '%-26s %-22s %12s  %-11s %s\n' day site seed verdict 'broken rules'
cat "$out"/*.row
played=$(find "$out" -name '*.row' | wc -l)
red=$(find "$out" -name '*.red' | wc -l)
echo "$played days played (simulated), $((played - red)) passed, $red not"
((red == 0))
