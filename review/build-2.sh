#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the build of the deploy file. Their stand-ins are written in
# Python and need no build, only its standard library; here they are checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in fleet2.py 6/run.py 7/run.py 8/run.py 9/run.py 10/run.py; do
  [[ -e $file ]] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
