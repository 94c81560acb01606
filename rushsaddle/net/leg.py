"""A caller's connection and its state, and the interfaces of what may take it from the caller legs."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Any, Protocol

from ..core.loop import Coroutine, Task
from ..core.memory_budget import Reservation
from ..core.transaction import Job
from .http import Request
from .stream import Stream


class Leg:
    """A caller's connection and its state."""

    __slots__ = ("body", "chunked", "close_us", "evicted", "idle", "idle_since_us", "opened_us",
                 "proven", "raw_head", "reading_request", "request_since_us", "reservation", "resumed",
                 "stream", "task")

    def __init__(self, stream: Stream, opened_us: int) -> None:
        self.stream = stream
        self.opened_us = opened_us
        self.proven = False  # it has sent a valid request
        self.idle = False  # waiting for the first byte of a request
        self.idle_since_us = 0  # start of the latest idle period
        self.reading_request = False  # waiting for the rest of a request, of its head or its body
        self.raw_head = b""  # of the request whose body is being read
        self.body = bytearray()  # what was read of it
        self.chunked = False  # that body is chunked
        self.reservation: Reservation | None = None  # of the memory for that request, where it is large
        self.request_since_us = opened_us  # the time for the request being read counts from here
        self.resumed = False  # its next request was begun at another process
        self.evicted = False  # selected for eviction
        self.close_us: int | None = None  # draining: closed at this time if still idle
        self.task: Task | None = None

    @property
    def unread(self) -> bytes | None:
        """What another process has to parse if it takes over the connection at this point.

        None if that is not known, as a chunked body is recorded only up to a size.
        """
        if self.chunked:
            return self.stream.recorded
        return b"".join([self.raw_head, self.body, self.stream.unparsed])

    @property
    def last_received_us(self) -> int:
        return max(self.stream.last_received_us, self.idle_since_us)

    @property
    def stalled_since_us(self) -> int | None:
        """Its last byte, or the grant of its memory, if the caller is to send the rest of a large request."""
        if not self.reading_request or self.reservation is None or self.reservation.granted_us is None:
            return None
        return max(self.stream.last_received_us, self.reservation.granted_us)

    @property
    def has_sent(self) -> bool:
        return self.stream.last_received_us > self.opened_us  # later only once a byte was received


class JobHandler(Protocol):
    """Accepts deferred requests and serves ``/jobs/``."""

    longest_us: int

    def job_options(self, headers: Mapping[bytes, bytes]) -> Any: ...

    def has_job(self, name: str) -> bool: ...

    def submit(
        self, leg: Leg, options: Any, job: Job, payload: Request, received_us: int, wait_us: int | None,
        limit_us: int,
    ) -> Coroutine[bool]: ...

    def serve_resource(
        self, leg: Leg, head: Any, headers: Mapping[bytes, bytes], path: bytes, unread: bool
    ) -> Coroutine[bool]: ...


class Successor(Protocol):
    """The process that replaces this one and takes over its caller connections, open."""

    def can_take(self, unread: bytes) -> bool:
        """Whether a connection with so many bytes of an incomplete request can be handed over."""

    def hand_over(self, sock: socket.socket, proven: bool, elapsed_us: int, unread: bytes) -> None:
        """Take a connection; ``elapsed_us`` of the time for its request, if any, have passed."""
