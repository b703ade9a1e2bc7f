#!/usr/bin/env bash
# tools/check_names.sh on small trees: clean names pass; a planted identifier, file name and idle exception fail.
set -u
check=$(cd "$(dirname "$0")/.." && pwd)/tools/check_names.sh
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
failures=0
mkdir -p "$tree"/docs "$tree"/tools "$tree"/libs "$tree"/apps "$tree"/tests
printf '| withdrawn | term |\n|---|---|\n| `held`, `beat` | pending |\n' > "$tree/docs/glossary.md"

expect() {  # expect STATUS WHAT [TEXT THAT THE OUTPUT HOLDS]
  local output status=0
  output=$("$check" "$tree" 2>&1) || status=$?
  if [ "$status" != "$1" ]; then
    echo "$2: status $status instead of $1: $output"
    failures=1
  elif [ -n "${3:-}" ] && ! grep -qF "$3" <<< "$output"; then
    echo "$2: no '$3' in: $output"
    failures=1
  fi
}

echo 'int withheldCount = 0;  // held in a comment
const char* text = "held";' > "$tree/libs/clean.cpp"
expect 0 "clean names"
echo 'int heldDigest = 0;' > "$tree/libs/planted.cpp"
expect 1 "a planted identifier" 'libs/planted.cpp:1: "held" in "heldDigest"'
echo 'libs/planted.cpp held the name of a field on the wire' > "$tree/tools/check_names_exceptions.txt"
expect 0 "an exception"
rm "$tree/libs/planted.cpp"
expect 1 "an exception that excuses nothing" "excuses nothing"
rm "$tree/tools/check_names_exceptions.txt"
echo 'int number = 0;' > "$tree/tests/last_beat.cpp"
expect 1 "a planted file name" '"beat" in "tests/last_beat.cpp"'
rm "$tree/tests/last_beat.cpp"
echo '#define K_HELD 1' > "$tree/apps/macro.hpp"
expect 1 "a planted macro" '"held" in "K_HELD"'
exit $failures
