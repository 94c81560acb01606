"""Prints rows of figures as a Markdown table."""

from __future__ import annotations

import json
import statistics
from collections.abc import Sequence
from pathlib import Path


def show(rows: Sequence[dict[str, float]], keep: str | None) -> None:
    """Print each figure's median, least and most over the rows; write the rows as JSON to file ``keep``."""
    print("| figure | median | least | most |\n| --- | --- | --- | --- |")
    for key in rows[0]:
        values = sorted(row[key] for row in rows)
        print(f"| {key} | {statistics.median(values):.2f} | {values[0]:.2f} | {values[-1]:.2f} |")
    if keep:
        Path(keep).write_text(json.dumps(rows) + "\n")
