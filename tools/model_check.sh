#!/usr/bin/env bash
# The model checker of the consensus code with more states than CI takes: tools/model_check.sh [STATES]
set -euo pipefail
cd "$(dirname "$0")/.."
ZINCCLEAT_MODEL_STATES="${1:-1000000}" target/zinccleat_tests --gtest_filter='ModelChecker*' 2>/dev/null
