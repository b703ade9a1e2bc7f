#!/usr/bin/env bash
# Doc comments of the headers: each begins with a `///` comment that says what the module is for, and clang finds
# nothing wrong in any of them (-Wdocumentation: parameters that there are not, malformed commands).
# Usage: tools/check_doc_comments.sh
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
headers=$(find libs -name '*.hpp' | sort)
for header in $headers; do
  if [[ $(head -n 1 "$header") != "///"* ]]; then
    echo "$header:1: the header does not begin with a /// comment"
    failed=1
  fi
done
include_paths=()
for folder in libs/*/include libs/*/src; do
  include_paths+=("-I$folder")
done
# One unit for all headers, so that the libraries' own headers are read once.
for header in $headers; do
  echo "#include \"$header\""
done | clang++ -x c++ -std=c++20 -fsyntax-only -I. "${include_paths[@]}" -DBOOST_DISABLE_ASSERTS \
  -Wdocumentation -Werror=documentation - || failed=1
exit $failed
