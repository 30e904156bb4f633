#!/bin/sh
# Installs the libraries, and copies and compiles the packages: hosts cannot
# write byte code, and would compile every module at each start.
set -eu
if [ ! target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -c constraints.txt \
        -r deploy/requirements.txt
fi
rm -rf target/app
mkdir -p target/app
cp -R packages/teaselpond/src/teaselpond packages/teaselpond-model/src/teaselpond_model \
    target/app
python3 -m compileall -q target/app target/deps
