#!/bin/sh
# The stand-ins are Python modules without dependencies, which run inside the scripts' own process. So nothing
# is compiled; this checks that the machine's Python can load every one of them.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.fleet, standins.http1, standins.process, standins.ranks, standins.servers, standins.store"
