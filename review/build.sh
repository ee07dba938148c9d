#!/usr/bin/env bash
# Checks the stand-ins, which need no build: they use the libraries that the
# build of the deploy file installs.
cd "$(dirname "$0")"
PYTHONPATH="../target/deps:." PYTHONDONTWRITEBYTECODE=1 \
  exec python3 -c 'import standins.callers, standins.deployment, standins.worker'
