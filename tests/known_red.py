"""KNOWN-RED.txt: tests that fail because of a fault that is known and not mended yet.

One entry a test, four lines and an empty one between entries: ``test`` (pytest's id), ``command`` (with the
seed), ``seen``, ``issue``.  Lines that begin with ``#`` are comments.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KEYS = ("test", "command", "seen", "issue")


class BadEntry(ValueError):
    """An entry that lacks a line, or has one that is unknown."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One test that is passed over, and why."""

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """The entries of the file's text; raises BadEntry."""
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    found = []
    for block in "\n".join(lines).split("\n\n"):
        if not block.strip():
            continue
        fields = dict(line.partition(": ")[::2] for line in block.strip().splitlines())
        if tuple(fields) != KEYS or not all(fields.values()):
            raise BadEntry(f"not {', '.join(KEYS)}: {block.strip()!r}")
        found.append(KnownFailure(**fields))
    return found


def read() -> list[KnownFailure]:
    """The entries of the project's file; none where there is no file."""
    return parse(FILE.read_text()) if FILE.exists() else []
