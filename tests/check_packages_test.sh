#!/usr/bin/env bash
# Runs tools/check_packages.sh on copies of the package list from which one package is removed: the check reports each
# package that the build needs and the list does not install. Usage: check_packages_test.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-target}
list=$(mktemp)
trap 'rm -f "$list"' EXIT
bad=0
without() {  # package to remove, expected exit status, text that the output must contain
  sed "s/\"$1\",\\? \\?//" deploy/system.toml > "$list"
  local said got
  said=$(tools/check_packages.sh "$build" "$list" 2>&1)
  got=$?
  if [ $got -ne "$2" ] || [[ "$said" != *"$3"* ]]; then
    echo "list without $1: got exit status $got, expected $2 and '$3' in the output; output: $said"
    bad=1
  fi
}
without make 1 "package make is not brought by the list: tool"
without libsodium-dev 1 "package libsodium-dev is not brought by the list: header"
without libboost-context1.81-dev 0 ""  # still installed as a dependency of libboost-fiber1.81-dev
without g++ 1 "package g++"
sed 's/"make"/"no-such-package"/' deploy/system.toml > "$list"
tools/check_packages.sh "$build" "$list" > /dev/null 2>&1
[ $? -eq 2 ] || { echo "a list with an unknown package does not give exit status 2"; bad=1; }
tools/check_packages.sh /nowhere > /dev/null 2>&1
[ $? -eq 2 ] || { echo "a missing build directory does not give exit status 2"; bad=1; }
exit $bad
