#!/usr/bin/env bash
# Checks that the packages listed in the deploy file bring everything that the build in BUILD_DIR used.
#
# The listed packages are resolved by apt against an empty package state and without recommended packages, as on a
# machine that has nothing else. Packages that dpkg calls essential count as present, with their dependencies: no
# Debian system is without them. Each tool, header, library and CMake package that the build used must belong to a
# package of that closure. Tests, and what only tests need, are left out.
#
# Usage: tools/check_packages.sh [BUILD_DIR] [DEPLOY_FILE]
# Prints one line for each missing package with what was used from it. Exit status: 0 nothing is missing, 1 something
# is, 2 the check could not be made.
set -euo pipefail
build=$(realpath "${1:-target}")
deploy=${2:-deploy/system.toml}
program=zinccleat
tests_target=${program}_tests

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
die() {
  echo "check_packages: $*" >&2
  exit 2
}

# --- Which packages the list brings ---------------------------------------------------------------------------------

listed=$(sed -n 's/^packages = \[\(.*\)\]/\1/p' "$deploy" | tr -d '",')
[ -n "$listed" ] || die "no line 'packages = [...]' in $deploy"
essential=$(dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p')
: > "$work/status"
resolve() {
  # shellcheck disable=SC2086
  apt-get -o Dir::State::status="$work/status" -o Debug::NoLocking=1 -s --no-install-recommends install \
    $listed $essential > "$work/resolved" 2> "$work/resolve_errors"
}
if ! compgen -G '/var/lib/apt/lists/*_Packages*' > /dev/null; then
  # Fresh machines come without the archive's lists.
  apt-get update -q >&2 || die "apt-get update failed"
fi
resolve || die "apt cannot resolve the list: $(tail -n 3 "$work/resolve_errors" | tr '\n' ' ')"
sed -n 's/^Inst \([^ ]*\) .*/\1/p' "$work/resolved" | sed 's/:.*//' | sort -u > "$work/closure"
[ -s "$work/closure" ] || die "apt resolved the list to nothing"

# --- What the build used, one line each: KIND PATH -------------------------------------------------------------------

cache=$build/CMakeCache.txt
[ -f "$cache" ] || die "no CMakeCache.txt in $build"
cached() { sed -n "s/^$1:[A-Z]*=//p" "$cache"; }
compiler=$(cached CMAKE_CXX_COMPILER)

used_tools() {
  local name
  for name in CMAKE_COMMAND CMAKE_MAKE_PROGRAM CMAKE_CXX_COMPILER CMAKE_AR CMAKE_RANLIB CMAKE_LINKER; do
    cached "$name"
  done
  for name in cc1plus collect2 as ld; do
    command -v "$("$compiler" -print-prog-name="$name")"
  done
  command -v sh
}
used_cmake_packages() {
  cached CMAKE_ROOT
  sed -n 's/^[A-Za-z0-9]*_DIR:PATH=//p' "$cache" | grep -v '/GTest$' || true
}
used_headers() {
  find "$build" -name '*.o.d' -not -path "*/$tests_target.dir/*" -exec cat {} + | tr -s ' \\' '\n\n' |
    sed 's/:$//' | grep '^/' | grep '\.[a-z]*$\|/include/' | grep -v '\.o$' || true
}
used_libraries() {
  # The link of the program is done again, aside, with the linker naming each file that it opens.
  local command
  command=$(sed "s| -o $program | -Wl,--trace -o $work/linked |" "$build/CMakeFiles/$program.dir/link.txt")
  (cd "$build" && sh -c "$command") 2>&1 | sed 's/^(\(.*\))[^)]*$/\1/' | grep '^/' | sort -u
}
{
  used_tools | sed 's/^/tool /'
  used_cmake_packages | sed 's/^/cmake-package /'
  used_headers | sort -u | sed 's/^/header /'
  used_libraries | sed 's/^/library /'
} > "$work/used"
for kind in tool header library; do
  grep -q "^$kind /" "$work/used" || die "found no $kind that the build used: is $build a finished build?"
done

# --- Whose each path is ----------------------------------------------------------------------------------------------

# A path may be a link (such as /usr/bin/c++, an alternative): each link on the way and its end count, where packaged.
links_of() {
  local path=$1 hops=0 target
  while [ -L "$path" ] && [ $hops -lt 8 ]; do
    echo "$path"
    target=$(readlink "$path")
    case "$target" in
      /*) path=$target ;;
      *) path=$(realpath -s -m "$(dirname "$path")/$target") ;;
    esac
    hops=$((hops + 1))
  done
  echo "$path"
}
source_dir=$(cached "${program}_SOURCE_DIR")
cut -d' ' -f1 "$work/used" > "$work/kinds"
cut -d' ' -f2- "$work/used" | tr '\n' '\0' | xargs -0 realpath -s -m -- > "$work/normal"
paste -d' ' "$work/kinds" "$work/normal" | sort -u | while read -r kind path; do
  case "$path" in "$source_dir"/* | "$build"/* | "$work"/*) continue ;; esac
  if [ -L "$path" ]; then
    links_of "$path" | sed "s|^|$kind $path |"
  else
    echo "$kind $path $path"
  fi
done > "$work/paths"

# Files as packages list them; /bin, /lib and /sbin are links into /usr on a merged system, so all are compared there.
under_usr() { sed -E 's#^(/)(bin|lib|lib32|lib64|libx32|sbin)/#/usr/\2/#'; }
awk '{
  name = FILENAME
  sub(/.*\//, "", name)
  sub(/(:[a-z0-9]*)?\.list$/, "", name)
  print $0 " " name
}' /var/lib/dpkg/info/*.list | under_usr > "$work/owned"

awk -v closure="$work/closure" -v owned="$work/owned" '
  BEGIN {
    while ((getline line < closure) > 0) present[line] = 1
    while ((getline line < owned) > 0) {
      split(line, part, " ")
      if (part[1] in owner) owner[part[1]] = owner[part[1]] " " part[2]
      else owner[part[1]] = part[2]
    }
  }
  {
    kind = $1; used = $2; path = $3
    merged = path
    if (merged ~ /^\/(bin|lib|lib32|lib64|libx32|sbin)\//) merged = "/usr" merged
    known[kind " " used] += 0
    if (!(merged in owner)) next
    known[kind " " used] = 1
    count = split(owner[merged], owners, " ")
    for (i = 1; i <= count; ++i) if (owners[i] in present) next
    missing = "package " owners[1] " is not brought by the list: " kind
    if (!(missing in example)) example[missing] = used
    if (!seen[missing " " used]++) times[missing]++
  }
  END {
    for (m in example) { bad = 1; print m " " example[m] (times[m] > 1 ? " and " times[m] - 1 " more" : "") }
    for (k in known) if (!known[k]) { bad = 1; print "of no package: " k }
    exit bad
  }' "$work/paths" > "$work/missing" && verdict=0 || verdict=$?
sort "$work/missing"
if [ $verdict -eq 0 ]; then
  echo "check_packages: the list brings $(wc -l < "$work/closure") packages, with all $(wc -l < "$work/used") things that the build used"
fi
exit $verdict
