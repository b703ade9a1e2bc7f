#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python and need no compiler: this only checks that python3 is there
# and reads each of them. The program itself comes from the build of the deploy file (target/zinccleat).
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/fleet lib/standins lib/run [0-9]*/case; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins: ready"
