"""Parses the durations of configuration files."""

from __future__ import annotations

import re

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(us|ms|s|m|h|d)")

Duration = str | float | int


def duration_us(value: Duration) -> int:
    """Return the microseconds of "250ms", "5s", "2h" or a number of seconds.

    Raises ValueError on other texts, and where the result is not above 0 and at most 366 days.
    """
    if isinstance(value, str):
        match = DURATION.fullmatch(value.strip())
        if match is None:
            raise ValueError(f"{value!r} is not a duration such as \"250ms\", \"5s\" or \"2h\"")
        us = float(match[1]) * UNITS[match[2]]
    else:
        us = float(value) * 1e6
    if not 0 < us <= 366 * UNITS["d"]:
        raise ValueError(f"{value!r} is not between 0 and a year")
    return int(us)
