"""Where each key of a TOML text stands; the text was read already, this only finds lines for messages."""

from __future__ import annotations

import io
import re

Path = tuple[str | int, ...]

HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(?:#.*)?$")
NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
KEY = re.compile(rf"\s*({NAME}(?:\s*\.\s*{NAME})*)\s*=")
PART = re.compile(NAME)


def lines_of(text: str) -> dict[Path, int]:
    """The line, from 1, of each table and key; keys of an array of tables carry their number in it."""
    found: dict[Path, int] = {}
    counts: dict[Path, int] = {}
    table: Path = ()
    for number, line in enumerate(io.StringIO(text), 1):  # one by one: a split of it all would hold up others
        if header := HEADER.match(line):
            name = tuple(part.strip("\"'") for part in PART.findall(header[2]))
            table = name
            if header[1] == "[[":
                counts[name] = counts.get(name, -1) + 1
                table = (*name, counts[name])
            for depth in range(1, len(table) + 1):
                found.setdefault(table[:depth], number)
        elif key := KEY.match(line):
            path = (*table, *(part.strip("\"'") for part in PART.findall(key[1])))
            for depth in range(len(table) + 1, len(path) + 1):
                found.setdefault(path[:depth], number)
    return found
