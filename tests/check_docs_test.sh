#!/usr/bin/env bash
# Runs tools/check_docs.sh on a small temporary source tree: valid references in a page pass, and each kind of broken
# reference is reported. Usage: check_docs_test.sh
set -uo pipefail
cd "$(dirname "$0")/.."
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
mkdir -p "$tree"/{apps/zinccleat,docs/operators,journal,libs/proxy/include/proxy,libs/proxy/src,runbooks,target,tests,tools}
echo 'if (verb == "status" || verb == "runbook") run();' > "$tree/apps/zinccleat/main.cpp"
echo 'struct Retry { int attempts; };' > "$tree/libs/proxy/include/proxy/retry.hpp"
echo 'int decideRetry() { return send("X-Attempt-Id", "/v1/Status"); }' > "$tree/libs/proxy/src/retry.cpp"
printf 'TEST(Proxy, CarriesARequest) {}\nTEST_F(Fixture, Works) {}\n' > "$tree/tests/proxy_test.cpp"
echo 'set(real_time_cases "Proxy.*")' > "$tree/CMakeLists.txt"
touch "$tree"/{tools/lint.sh,runbooks/drain.run,target/CMakeCache.txt,target/built.cpp}
echo 'Names `gone.cpp`.' > "$tree/journal/old.md"
bad=0
want() {  # expected output without the summary line, text of docs/page.md
  local said got=0 wanted=0
  printf '%s\n' "$2" > "$tree/docs/page.md"
  said=$(tools/check_docs.sh "$tree" 2>&1) || got=$?
  said=$(grep -v '^check_docs: ' <<< "$said")
  [ -z "$1" ] || wanted=1
  if [ $got -ne $wanted ] || [ "$said" != "$1" ]; then
    echo "page '$2': got status $got and output '$said', expected status $wanted and output '$1'"
    bad=1
  fi
}
passes() { want "" "$1"; }
fails() { want "docs/page.md:1: $1" "$2"; }

touch "$tree/docs/operators/proxy.md"
passes 'A page that names nothing: `plain`, `--flag`, `../given/x.md`, `GET /v1/Status`, `{"a":1}`, `KNOWN-RED.txt`.'
passes 'Paths: `libs/proxy/src/retry.cpp`, `retry.hpp`, `proxy/retry`, `libs/proxy`, `tools/lint.sh target [FILE...]`, `tests/`.'
passes 'Globs: `libs/proxy/src/*.cpp`, `tests/proxy_*`. Links: [a](operators/proxy.md#top), [b](../tools/lint.sh), [c](https://x.example).'
passes 'Tests: `Proxy.CarriesARequest`, `Proxy.*`, `Proxy.Carries...`, `Carries...`, `Fixture.Works`, `SUITE.CASE`.'
passes 'Names: `decideRetry()`, `Retry::attempts`, `decideRetry`, `retry.cpp: decideRetry, send`, `X-Attempt-Id`, `real_time_cases`.'
passes 'Commands: `zinccleat status ADDRESS`, `zinccleat runbook drain`, `zinccleat runbook NAME`.'
passes $'```\n`gone.cpp`\n```'

fails "path 'libs/proxy/src/gone.cpp' does not exist" 'See `libs/proxy/src/gone.cpp`.'
fails "path 'gone.cpp' does not exist" 'See `gone.cpp`.'
fails "path 'built.cpp' does not exist" 'Only in a build folder: `built.cpp`.'
fails "path 'proxy/gone' does not exist" 'See `proxy/gone`.'
fails "path 'tools/gone.sh' does not exist" 'Run `tools/gone.sh target`.'
fails "path 'docs/*.txt' does not exist" 'See `docs/*.txt`.'
fails "link 'operators/gone.md' does not exist" 'See [that](operators/gone.md).'
fails "test 'Proxy.Gone' is not in tests/*.cpp" 'Test: `Proxy.Gone`.'
fails "test 'Passage.*' is not in tests/*.cpp" 'Tests: `Passage.*`.'
fails "test 'Gone...' begins no case in tests/*.cpp" 'Test: `Gone...`.'
fails "identifier 'decideGone()' does not occur in libs, apps, tests or tools" 'Calls `decideGone()`.'
fails "identifier 'Retry::gone' does not occur in libs, apps, tests or tools" 'Calls `Retry::gone`.'
fails "identifier 'decideRetr' does not occur in libs, apps, tests or tools" 'A part of a word: `decideRetr`.'
fails "identifier 'Retry' does not occur in retry.cpp" 'In another file: `retry.cpp: decideRetry, Retry`.'
fails "file 'gone.cpp' does not exist" 'See `gone.cpp: decideRetry`.'
fails "header 'X-Gone' does not occur in libs, apps, api or tests" 'Sends `X-Gone`.'
fails "API path '/v1/Gone' does not occur in libs, apps or api" 'Call `GET /v1/Gone`.'
fails "command 'gone' is none of apps/zinccleat" 'Run `zinccleat gone`.'
fails "runbook 'gone' is not in runbooks/" 'Run `zinccleat runbook gone`.'
want $'docs/page.md:2: path \'a/gone.md\' does not exist\ndocs/page.md:3: link \'b.md\' does not exist' \
  $'Lines are counted.\n`a/gone.md`\n[b](b.md)'
echo 'set(real_time_cases "Proxy.*:Passage.*")' > "$tree/CMakeLists.txt"
want "CMakeLists.txt: test 'Passage.*' of real_time_cases is not in tests/*.cpp" 'Nothing.'
exit $bad
