#!/bin/sh
# After the deploy file's build: what the cases 6 to 10 need beside it.
#
# The stand-ins are Python files that need nothing but the interpreter of .venv. Cases with an operator's file need
# the dependencies that pyproject.toml names for it; the second command of `make setup` brings them.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c 'import click, crc32c, msgspec, structlog' 2>/dev/null || .venv/bin/pip -q install -e . || exit 1
.venv/bin/python -c 'import ast; ast.parse(open("review/standins2.py").read())'
