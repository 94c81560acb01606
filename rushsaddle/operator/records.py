"""What the operator's file may say; each key's flag and environment variable are made from these records."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

VERSION = 1
UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(us|ms|s|m|h|d)")

Duration = str | float | int
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


def duration_us(value: Duration) -> int:
    """Microseconds of "250ms", "5s", "2h" or plain seconds; raises ValueError."""
    if isinstance(value, str):
        found = DURATION.fullmatch(value.strip())
        if found is None:
            raise ValueError(f"{value!r} is not a duration such as \"250ms\", \"5s\" or \"2h\"")
        us = float(found[1]) * UNITS[found[2]]
    else:
        us = float(value) * 1e6
    if not 0 < us <= 366 * UNITS["d"]:
        raise ValueError(f"{value!r} is not between 0 and a year")
    return int(us)


class Waiting(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[waiting]: jobs that wait for a time or for other jobs."""

    enabled: bool = False
    most: Count = 100_000  # jobs that wait at once
    store: str = ""  # a folder that lasts; without it nothing is promised beyond the connection
    pace: bool = True  # release what is due as room allows; false: all at once
    reserve: Share = 0.15  # share of all slots that released jobs leave to fresh traffic
    longest: Duration = "24h"  # no job waits for longer
    remember: Duration = "10m"  # outcomes that other jobs may wait for are known for so long
    remember_most: Count = 100_000  # ... and so many of them
    keep: Duration = "1h"  # stored answers can be read for so long
    keep_most: Count = 100_000  # ... and so many of them; further jobs are not stored
    legs_share: Share = 0.5  # share of the connections from callers that may wait


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[log]: how the log is written."""

    format: Literal["json", "text"] = "json"  # one JSON line an event, or lines for people


class LimitTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[limits.default] and [limits.class.NAME]; what is left out comes from the next wider table."""

    timeout: Duration | None = None  # whole request, at most the class's give-up time
    attempt_timeout: Duration | None = None  # one attempt
    attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] | None = None  # never over the platform's
    second_copies: bool | None = None  # only where a repeat does no harm
    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # at once; more are refused
    rate: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)] | None = None  # a second
    burst: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # at once, within the rate
    retry_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] | None = None  # by first tries
    adaptive: bool | None = None  # a bound on requests at once that follows measured latency


class RouteTable(LimitTable, frozen=True, forbid_unknown_fields=True):
    """[[limits.route]]: the longest path prefix wins; over class, over default."""

    match: str = ""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[limits]: by default, class and route."""

    default: LimitTable = msgspec.field(default_factory=LimitTable)
    class_: dict[str, LimitTable] = msgspec.field(default_factory=dict, name="class")
    route: tuple[RouteTable, ...] = ()
    open: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # requests at once in all


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    version: int = VERSION
    waiting: Waiting = msgspec.field(default_factory=Waiting)
    limits: Limits | None = None
    log: LogSection = msgspec.field(default_factory=LogSection)


SECTIONS: dict[str, type[msgspec.Struct]] = {"waiting": Waiting, "limits": Limits, "log": LogSection}
DURATIONS = {
    *((Waiting, key) for key in ("longest", "remember", "keep")),
    *((table, key) for table in (LimitTable, RouteTable) for key in ("timeout", "attempt_timeout")),
}


def plain_keys() -> Iterator[tuple[str, str]]:
    """Section and key of everything that has a flag and a variable of its own; ``default__timeout`` lies a
    table deeper.  Tables by name (classes, routes) are set by ``--set`` and ``RUSHSADDLE_SET``."""
    for section, record in SECTIONS.items():
        for key in record.__struct_encode_fields__:
            if section == "limits" and key in ("class", "route"):
                continue
            if section == "limits" and key == "default":
                yield from ((section, f"default__{inner}") for inner in LimitTable.__struct_encode_fields__)
            else:
                yield section, key
