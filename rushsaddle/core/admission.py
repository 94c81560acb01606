"""Admission control ahead of the decision module, independent of any protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tansygw.interface import RequestPolicy


@dataclass(slots=True)
class Admission:
    """An admitted request: its time-out, its policy, and the limiter's own ``permit``."""

    timeout_us: int
    policy: RequestPolicy
    permit: object


@dataclass(slots=True)
class Rejection:
    """A refused request: HTTP status, reason, and retry-after time (0: none is sent).

    ``retryable`` is False where a retry cannot succeed.
    """

    status: int
    reason: str
    retry_after_us: int
    retryable: bool = True


class Limiter(Protocol):
    """Admits or refuses requests before they reach the decision module."""

    def admit(self, cls: int, path: bytes, left_us: int, repeat: bool) -> Admission | Rejection: ...

    def snapshot(self) -> dict[str, object]: ...
