#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
python3 -B "$(dirname "$0")/case.py"
case $? in
    0) exit 0 ;;
    71) exit 1 ;;
    *) exit 2 ;;
esac
