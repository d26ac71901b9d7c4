#!/bin/sh
# Put what the programs need at run time under target/deps: pinned packages, own code, bytecode.
set -eu
lock=deploy/requirements.lock
if ! cmp -s "$lock" target/requirements.lock; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r "$lock"
    python3 -m compileall -q target/deps
    cp "$lock" target/requirements.lock
fi
rm -rf target/deps/damaskwind
for package in model decisions wire runtime control router; do
    cp -R "packages/$package/src/damaskwind" target/deps/
done
cp -R platform/src/damaskwind target/deps/
find target/deps/damaskwind -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/deps/damaskwind
