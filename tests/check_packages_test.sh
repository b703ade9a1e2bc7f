#!/usr/bin/env bash
# The check of the package list finds what it is there to find: planted gaps. Usage: check_packages_test.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-target}
list=$(mktemp)
trap 'rm -f "$list"' EXIT
bad=0
without() {  # package to leave out, wanted status, wanted words
  sed "s/\"$1\",\\? \\?//" deploy/system.toml > "$list"
  local said got
  said=$(tools/check_packages.sh "$build" "$list" 2>&1)
  got=$?
  if [ $got -ne "$2" ] || [[ "$said" != *"$3"* ]]; then
    echo "without $1: status $got, wanted $2 and '$3'; said: $said"
    bad=1
  fi
}
without make 1 "package make is not brought by the list: tool"
without libsodium-dev 1 "package libsodium-dev is not brought by the list: header"
without libboost-context1.81-dev 0 ""  # libboost-fiber1.81-dev depends on it
without g++ 1 "package g++"
sed 's/"make"/"no-such-package"/' deploy/system.toml > "$list"
tools/check_packages.sh "$build" "$list" > /dev/null 2>&1
[ $? -eq 2 ] || { echo "an unknown package: not said"; bad=1; }
tools/check_packages.sh /nowhere > /dev/null 2>&1
[ $? -eq 2 ] || { echo "no build there: not said"; bad=1; }
exit $bad
