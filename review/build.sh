#!/bin/sh
# Builds the stand-ins of the cases; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m py_compile review/standins/*.py review/*/*.py
