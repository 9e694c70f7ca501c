#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the controllers: their stand-ins, which need
# only the packages that the deploy file's build put under target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2
python3 -c 'import sys; sys.path.insert(0, "review/lib2"); import stand'
