#!/bin/sh
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/2/case.py
