"""The properties of a job in the headers of a caller's request.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from tansygw.interface import NO_TENANT

from ..core.transaction import Job
from .http import BadRequest, number

MAX_TIMEOUT_S = 86_400.0  # numbers from callers must be bounded in the decisions
MAX_ATTR = 1e6
MAX_COST = 1e12


class ClassDeadline:
    """Number and default deadline of a request class."""

    __slots__ = ("deadline_us", "number")

    def __init__(self, number: int, deadline_us: int) -> None:
        self.number = number
        self.deadline_us = deadline_us


def parse_job(
    headers: Mapping[bytes, bytes], cls: int, tenants: Mapping[str, int], longest_s: float
) -> tuple[Job, int | None]:
    """The job of class ``cls``, and the caller's timeout in microseconds, None if it sets none.

    ``longest_s``: the longest timeout allowed; raises BadRequest.
    """
    if not headers.get(b"x-request-id"):
        raise BadRequest(400, "X-Request-ID: missing")
    wait_us = None
    if b"x-timeout" in headers:
        wait_us = int(number("X-Timeout", headers[b"x-timeout"], longest_s) * 1e6)
    attrs: dict[str, float] = {}
    for item in headers.get(b"x-attrs", b"").split(b","):
        name, equals, value = item.strip().partition(b"=")
        if name in (b"slots", b"memory"):
            attrs[name.decode()] = number("X-Attrs", value, MAX_ATTR)
        elif name and not equals:
            raise BadRequest(400, "X-Attrs: not name=value")
    key = ""
    for cookie in headers.get(b"cookie", b"").split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == b"key":
            key = value.decode("latin-1")
    cost = int(number("X-Cost", headers.get(b"x-cost", b"0"), MAX_COST))
    job = Job(
        cls, attrs.get("slots", 1.0), attrs.get("memory", 0.0),
        tenants.get(headers.get(b"x-tenant-id", b"").decode("latin-1"), NO_TENANT), key,
        headers.get(b"x-retried") == b"1", cost, bool(headers.get(b"idempotency-key")),
    )
    return job, wait_us
