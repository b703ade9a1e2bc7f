#!/usr/bin/env bash
# Runs tools/check_names.sh on small temporary source trees: allowed names pass; an identifier, a macro or a file name
# that contains a withdrawn word fails, and so does an exception that matches no name.
set -u
check=$(cd "$(dirname "$0")/.." && pwd)/tools/check_names.sh
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
failures=0
mkdir -p "$tree"/docs "$tree"/tools "$tree"/libs "$tree"/apps "$tree"/tests
printf '| withdrawn | term |\n|---|---|\n| `held`, `beat` | pending |\n' > "$tree/docs/glossary.md"

expect() {  # exit status, description of the case, [text that the output must contain]
  local output status=0
  output=$("$check" "$tree" 2>&1) || status=$?
  if [ "$status" != "$1" ]; then
    echo "$2: got exit status $status, expected $1; output: $output"
    failures=1
  elif [ -n "${3:-}" ] && ! grep -qF "$3" <<< "$output"; then
    echo "$2: the output does not contain '$3': $output"
    failures=1
  fi
}

echo 'int withheldCount = 0;  // held in a comment
const char* text = "held";' > "$tree/libs/clean.cpp"
expect 0 "allowed names"
echo 'int heldDigest = 0;' > "$tree/libs/planted.cpp"
expect 1 "an identifier with a withdrawn word" 'libs/planted.cpp:1: "held" in "heldDigest"'
echo 'libs/planted.cpp held the name of a field on the wire' > "$tree/tools/check_names_exceptions.txt"
expect 0 "an identifier that an exception covers"
rm "$tree/libs/planted.cpp"
expect 1 "an exception that matches no name" "excuses nothing"
rm "$tree/tools/check_names_exceptions.txt"
echo 'int number = 0;' > "$tree/tests/last_beat.cpp"
expect 1 "a file name with a withdrawn word" '"beat" in "tests/last_beat.cpp"'
rm "$tree/tests/last_beat.cpp"
echo '#define K_HELD 1' > "$tree/apps/macro.hpp"
expect 1 "a macro with a withdrawn word" '"held" in "K_HELD"'
exit $failures
