#!/bin/sh
# Compiles the stand-ins of the cases. They use the standard library alone, and
# start gateways from what the build of the deploy file made.
set -eu
cd "$(dirname "$0")"
test -d ../target/app && test -d ../target/deps
python3 -m compileall -q lib [0-9]*
