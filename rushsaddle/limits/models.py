"""Limits in force for one class or route, as plain values; times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits of each single request; every value only narrows what platform and request rules allow."""

    timeout_us: int  # whole request
    attempt_timeout_us: int = 0  # 0: until the end of the request
    attempts: int = 4
    second_copies: bool = True
    retry_share: float = 1.0  # retries and hedges per first attempt; from 1 on there is no budget


@dataclass(slots=True, frozen=True)
class SharedLimits:
    """Limits on all requests of one class or route together; 0: unlimited."""

    in_flight: int = 0
    rate: float = 0.0  # requests per second
    burst: int = 1
    adaptive: bool = False
