#!/usr/bin/env bash
# Builds everything, starts a small fleet on loopback and sends requests through it.
set -euo pipefail
cd "$(dirname "$0")"
./build.sh
python3 tests/end_to_end/thin_path_check.py "${BUILD_DIR:-build}"
