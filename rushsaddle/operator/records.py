"""Schema of the operator's file; flags and environment variables are derived from these records."""

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
    """[waiting]: jobs deferred until a time or until other jobs have succeeded."""

    enabled: bool = False
    most: Count = 100_000  # deferred jobs at once
    store: str = ""  # persistent folder; without it jobs end with their caller's connection
    pace: bool = True  # release due jobs as capacity allows; false: all at once
    reserve: Share = 0.15  # share of all slots that released jobs leave to new requests
    longest: Duration = "24h"  # longest time that a job may be deferred
    remember: Duration = "10m"  # retention of outcomes that other jobs may depend on
    remember_most: Count = 100_000  # outcomes retained at most
    keep: Duration = "1h"  # retention of stored answers
    keep_most: Count = 100_000  # stored answers at most; beyond, further jobs are not stored
    legs_share: Share = 0.5  # share of the caller connections that may wait


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[fleet]: membership of the nodes, which pass the list of next hops on to each other."""

    enabled: bool = False
    listen: str = ""  # address for members, UDP and TCP; with port 0 the system chooses one
    told: str = ""  # advertised address, where it differs from the bound one
    seeds: tuple[str, ...] = ()  # members that a new one contacts first; any running ones will do
    key_file: str = ""  # file with the fleet's key: at least 16 bytes, the same at every member
    period: Duration = "250ms"  # between probes by one member
    suspect: Duration = "3200ms"  # shortest time in which a suspected member can refute
    most: Annotated[int, msgspec.Meta(ge=2, le=100_000)] = 10_000  # known members, including dead ones
    bytes: Annotated[int, msgspec.Meta(ge=1_000, le=10_000_000)] = 6_000  # sent per second under failures
    patience: Duration = "30s"  # a node without a list accepts callers after this time
    copy: str = ""  # persistent folder for the last list; one per node
    copy_longest: Duration = "24h"  # an older copy is not used


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[log]: format of the log."""

    format: Literal["json", "text"] = "json"  # one JSON object per line, or readable text


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
    """Section and key of every setting with its own flag and variable.

    Two underscores mark a nested table, as in ``default__timeout``.  Named tables (classes, routes) are set
    with ``--set`` and ``RUSHSADDLE_SET``.
    """
    for section, record in SECTIONS.items():
        for key in record.__struct_encode_fields__:
            if section == "limits" and key in ("class", "route"):
                continue
            if section == "limits" and key == "default":
                yield from ((section, f"default__{inner}") for inner in LimitTable.__struct_encode_fields__)
            else:
                yield section, key
