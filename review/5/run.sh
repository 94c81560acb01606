#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/5/case.py
