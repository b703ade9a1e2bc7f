#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec python3 ../lib/run case
