#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run stands in record.txt beside it afterwards.
export PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=5 110 python3 "$(dirname "$0")/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
