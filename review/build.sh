#!/bin/sh
# Nothing is compiled: the stand-ins are Python, on the libraries that the deploy file's build puts
# under target/deps. This checks that they are there and that the stand-ins can be loaded.
set -e
cd "$(dirname "$0")/lib"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import deployments, standins'
