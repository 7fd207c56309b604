#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 \
    timeout -k 5 115 python3 -m review.3.case
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
