#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/3/case.py
