#!/bin/sh
# Checks what the scripts need beside the build of the deploy file. The stand-ins are Python modules
# without dependencies, so that nothing is built.
set -e
cd "$(dirname "$0")"
test -x ../target/release/pomelorampd
PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.fleet, standins.ranks, standins.servers"
