#!/usr/bin/env bash
# Installs what is missing and builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja ${CMAKE_FLAGS:-} >/dev/null
cmake --build "$build" --parallel "${BUILD_JOBS:-$(nproc)}"
