#!/usr/bin/env bash
# Exits with 1 if the rule MAP was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
[[ -x ../../target/release/pomelorampd ]] || exit 2
rm -f record.txt && : > record.txt || exit 2
timeout --preserve-status --signal=TERM --kill-after=2 116 python3 fleet.py
code=$?
# Only a run that has written its verdict counts; whatever else ended it, the case could not run.
[[ $code -le 1 && "$(tail -n 1 record.txt)" == *" exit $code" ]] && exit "$code"
exit 2
