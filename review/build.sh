#!/usr/bin/env bash
# Checks the stand-ins of each case, which need no build: they use the libraries
# that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")"
for case in [1-5]; do
  (
    cd "$case"
    PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c \
      'import standins.callers, standins.deployment, standins.worker'
  )
done
