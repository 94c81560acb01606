#!/bin/sh
# Builds what the cases start beside the node. The stand-ins are plain Python for the interpreter of the deploy
# file's build; they need nothing else, so that they are only compiled here, as a check.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")): ast.parse(path.read_text(), str(path))'
