"""What the operator's file may say; each key's flag and environment variable are made from these records."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

from ..core.durations import Duration
from ..limits.records import Limits, LimitTable, RouteTable

VERSION = 1
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]


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


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[fleet]: nodes that know of each other and pass the list of senders on."""

    enabled: bool = False
    listen: str = ""  # address for members, UDP and TCP; a port of 0 is chosen by the system
    told: str = ""  # the address that others are told, where it is not the one that is bound
    seeds: tuple[str, ...] = ()  # members that a new one asks first; any that run will do
    key_file: str = ""  # its bytes are the fleet's key: 16 at least, the same at every member
    period: Duration = "250ms"  # between pings of one member
    suspect: Duration = "3200ms"  # the least time that a silent member has to refute
    most: Annotated[int, msgspec.Meta(ge=2, le=100_000)] = 10_000  # members known at once, gone ones too
    bytes: Annotated[int, msgspec.Meta(ge=1_000, le=10_000_000)] = 6_000  # a second, in bad moments
    patience: Duration = "30s"  # a node without a list takes callers after so long all the same
    copy: str = ""  # a folder that lasts, for the last list; each node its own
    copy_longest: Duration = "24h"  # an older copy is not used


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[log]: how the log is written."""

    format: Literal["json", "text"] = "json"  # one JSON line an event, or lines for people


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    version: int = VERSION
    waiting: Waiting = msgspec.field(default_factory=Waiting)
    limits: Limits | None = None
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    log: LogSection = msgspec.field(default_factory=LogSection)


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "waiting": Waiting, "limits": Limits, "fleet": Fleet, "log": LogSection,
}
DURATIONS = {
    *((Waiting, key) for key in ("longest", "remember", "keep")),
    *((Fleet, key) for key in ("period", "suspect", "patience", "copy_longest")),
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
