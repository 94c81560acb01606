"""Schema of [limits] in the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..core.durations import Duration


class LimitTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[limits.default] and [limits.class.NAME]; missing keys are inherited from the next wider table."""

    timeout: Duration | None = None  # whole request; at most the class's deadline
    attempt_timeout: Duration | None = None  # one attempt
    attempts: Annotated[int, msgspec.Meta(ge=1, le=1000)] | None = None  # at most the platform's
    second_copies: bool | None = None  # hedged requests; only where a repeat does no harm
    in_flight: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # concurrent requests
    rate: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)] | None = None  # requests per second
    burst: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # requests at once within the rate
    retry_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] | None = None  # per first attempt
    adaptive: bool | None = None  # concurrency limit that follows measured latency


class RouteTable(LimitTable, frozen=True, forbid_unknown_fields=True):
    """[[limits.route]]: the longest matching path prefix takes precedence over class and default."""

    match: str = ""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[limits]: by default, class and route."""

    default: LimitTable = msgspec.field(default_factory=LimitTable)
    class_: dict[str, LimitTable] = msgspec.field(default_factory=dict, name="class")
    route: tuple[RouteTable, ...] = ()
    open: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None  # concurrent requests in all
