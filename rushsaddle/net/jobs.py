"""Deferred jobs over HTTP: parsing of their headers, and the representation of ``/jobs/``.

Contract: X-Not-Before, X-After and ``Prefer: respond-async`` on any job; GET and DELETE of ``/jobs/<id>``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, unquote_to_bytes

import msgspec

from ..core.transaction import Answer
from ..waiting.records import FinalAnswer
from .http import ID_PATTERN, BadRequest, Request, number, status_of

MAX_AFTER = 64  # ids in one X-After header
MAX_WAIT_S = 60.0  # longest long poll of GET /jobs/<id>
JOBS_PATH = b"/jobs"
MAX_NOT_BEFORE_S = 1e11  # Unix seconds; a time in milliseconds exceeds it and is rejected


@dataclass(slots=True, frozen=True)
class Prefer:
    """The supported preferences of RFC 7240; others are ignored, as the RFC requires."""

    respond_async: bool = False
    wait_s: float = 0.0


@dataclass(slots=True, frozen=True)
class JobOptions:
    """Options of a deferred request."""

    due_us: int  # earliest start; 0: now
    after: tuple[str, ...]
    respond_async: bool


def parse_prefer(value: bytes) -> Prefer:
    """Parse a Prefer header; raises BadRequest if a supported preference is malformed."""
    respond_async, wait_s = False, 0.0
    for item in value.split(b","):
        name, equals, text = item.partition(b";")[0].partition(b"=")
        name, text = name.strip().lower(), text.strip().strip(b'"')
        if name == b"respond-async" and not equals:
            respond_async = True
        elif name == b"wait":
            wait_s = min(MAX_WAIT_S, number("Prefer: wait", text, 1e9))
    return Prefer(respond_async, wait_s)


def parse_job_options(headers: Mapping[bytes, bytes]) -> JobOptions | None:
    """Options of a deferred request, None if the request is not deferred; raises BadRequest."""
    due_us = 0
    after: list[str] = []
    if b"x-not-before" in headers:
        due_us = int(number("X-Not-Before", headers[b"x-not-before"], MAX_NOT_BEFORE_S) * 1e6)
    if b"x-after" in headers:
        for item in headers[b"x-after"].split(b","):
            name = item.strip()
            if not ID_PATTERN.fullmatch(name):
                raise BadRequest(400, "X-After: not an id")
            after.append(name.decode("ascii"))
        if len(after) > MAX_AFTER:
            raise BadRequest(400, f"X-After: more than {MAX_AFTER} ids")
    respond_async = parse_prefer(headers[b"prefer"]).respond_async if b"prefer" in headers else False
    if not respond_async and not after and b"x-not-before" not in headers:
        return None
    return JobOptions(due_us, tuple(after), respond_async)


def job_location(name: str) -> bytes:
    """Value of the Location header for a job."""
    return b"/jobs/" + quote(name, safe="").encode()


def job_name(path: bytes) -> str | None:
    """The id in ``/jobs/<id>``; empty for ``/jobs``; None for any other path or a malformed id."""
    if path == JOBS_PATH or path == JOBS_PATH + b"/":
        return ""
    if not path.startswith(JOBS_PATH + b"/"):
        return None
    name = unquote_to_bytes(path[len(JOBS_PATH) + 1 :])
    return name.decode("ascii") if ID_PATTERN.fullmatch(name) else None


def shown(name: str, final: FinalAnswer) -> dict[str, object]:
    """JSON representation of an answered job; a result that is not UTF-8 is decoded as Latin-1."""
    try:
        result = final.result.decode()
    except UnicodeDecodeError:
        result = final.result.decode("latin-1")
    return {
        "id": name, "state": final.state, "due": None, "after": [], "give_up": None, "status": final.status,
        "result": result if final.state == "served" else final.reason or None,
    }


class HttpCodec:
    """HTTP specifics for the job queue: unpacks stored requests and maps answers to statuses."""

    def payload(self, packed: bytes) -> object:
        name, method, target, headers, body = msgspec.msgpack.decode(
            packed, type=tuple[str, bytes, bytes, list[tuple[bytes, bytes]], bytes]
        )
        return Request(name, method, target, headers, body)

    def path(self, payload: object) -> bytes:
        assert isinstance(payload, Request)
        return payload.target.partition(b"?")[0]

    def status(self, answer: Answer) -> int:
        return status_of(answer)


def pack_request(request: Request) -> bytes:
    """Encode a request for the store; ``HttpCodec.payload`` decodes it."""
    return msgspec.msgpack.encode(
        (request.id, request.method, request.target, list(request.headers), request.body)
    )
