"""Line numbers of the keys of a TOML text, for error messages; the text itself is parsed elsewhere."""

from __future__ import annotations

import io
import re

KeyPath = tuple[str | int, ...]

HEADER_RE = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(?:#.*)?$")
NAME_PATTERN = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
KEY_RE = re.compile(rf"\s*({NAME_PATTERN}(?:\s*\.\s*{NAME_PATTERN})*)\s*=")
NAME_RE = re.compile(NAME_PATTERN)


def line_numbers(text: str) -> dict[KeyPath, int]:
    """Line numbers, from 1, of each table and key; paths into an array of tables contain the index."""
    found: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    # Line by line: one split of a large text would block other threads.
    for number, line in enumerate(io.StringIO(text), 1):
        if header := HEADER_RE.match(line):
            name = tuple(part.strip("\"'") for part in NAME_RE.findall(header[2]))
            table = name
            if header[1] == "[[":
                counts[name] = counts.get(name, -1) + 1
                table = (*name, counts[name])
            for depth in range(1, len(table) + 1):
                found.setdefault(table[:depth], number)
        elif key := KEY_RE.match(line):
            path = (*table, *(part.strip("\"'") for part in NAME_RE.findall(key[1])))
            for depth in range(len(table) + 1, len(path) + 1):
                found.setdefault(path[:depth], number)
    return found
