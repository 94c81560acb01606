#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec ../../.venv/bin/python case.py
