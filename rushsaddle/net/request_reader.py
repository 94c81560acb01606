"""Reads one request of a caller leg: its head, then its body, each within the time for the request."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

import h11

from ..core.loop import Coroutine, Loop, Wait
from ..core.memory_budget import LARGE_BYTES, MemoryBudget
from .http import HEAD_END, MAX_BODY_BYTES, BadRequest, check_head_size
from .leg import Leg
from .stream import HANGUP, Stream

MAX_CHUNKED_BYTES = 8 * MAX_BODY_BYTES  # as received: chunks of a byte take six bytes each


class RequestReader:
    """Reads requests; ``handing_over``: whether legs go to a successor, ``hand_over`` passes one on.

    ``hand_over`` gets the leg and the end of the time for its request, and returns whether the leg is gone.
    """

    def __init__(
        self, loop: Loop, memory: MemoryBudget, handing_over: Callable[[], bool],
        hand_over: Callable[[Leg, int], bool],
    ) -> None:
        self._loop = loop
        self._memory = memory
        self._handing_over = handing_over
        self._hand_over = hand_over
        self.most_recorded_bytes = 0  # of a chunked request that may be handed over; 0: none is

    def head(self, leg: Leg, until_us: int) -> Coroutine[tuple[Any, bytes]]:
        """The head of a request and its raw bytes; the head is None if the leg is to be handed over."""
        if self._handing_over():
            return None, b""
        leg.reading_request = True
        try:
            return (yield from self._next_head(leg.stream, until_us))
        finally:
            leg.reading_request = False

    def release(self, leg: Leg) -> None:
        """End the reservation of memory for the leg's request, if it has one."""
        if leg.reservation is not None:
            self._memory.release(leg.reservation)
            leg.reservation = None

    def _next_head(self, stream: Stream, until_us: int) -> Coroutine[tuple[Any, bytes]]:
        """The first event of a request, None if it is not complete, and its raw bytes.

        h11 normalizes some of these.  Raises BadRequest.
        """
        in_time = True
        while True:
            raw = stream.unparsed
            check_head_size(raw)
            event = stream.parse()
            if event is not h11.NEED_DATA:
                end = HEAD_END.search(raw)
                return event, raw[: end.end()] if end else raw
            if not in_time:
                return None, raw
            in_time = yield from stream.more(until_us)

    def body(
        self, leg: Leg, raw_head: bytes, size: int | None, until_us: int
    ) -> Coroutine[bytes | None]:
        """The body of a request; None if the leg was handed over with what was read of the request.

        ``size``: its announced length, None if it is chunked.
        """
        leg.raw_head, leg.body = raw_head, bytearray()
        chunked = size is None
        leg.chunked = chunked
        if chunked and self.most_recorded_bytes:
            leg.stream.start_recording(raw_head, self.most_recorded_bytes)
        leg.reading_request = True
        try:
            return (yield from self._read_body(leg, size, until_us))
        finally:
            leg.reading_request = leg.chunked = False
            leg.raw_head, leg.body = b"", bytearray()
            leg.stream.stop_recording()

    def _read_body(self, leg: Leg, size: int | None, until_us: int) -> Coroutine[bytes | None]:
        if size is not None and len(leg.raw_head) + size >= LARGE_BYTES:
            self._reserve(leg, size)
        if not (yield from self._await_memory(leg, until_us)):
            return None
        if not self._handing_over():
            yield from self._send_continue(leg, until_us)
        body = leg.body
        most = leg.stream.received + MAX_CHUNKED_BYTES
        while not self._hand_over(leg, until_us):
            event = yield from leg.stream.next_event(until_us)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if self._loop.now_us() >= until_us or (event is None and leg.evicted):
                raise BadRequest(408, "the request did not come whole")
            if event is not None:
                body += event.data
                if leg.reservation is not None:
                    leg.reservation.receive(len(event.data))
                elif size is None and len(leg.raw_head) + len(body) >= LARGE_BYTES:
                    self._reserve(leg, max(0, MAX_BODY_BYTES - len(body)))
                    if not (yield from self._await_memory(leg, until_us)):
                        return None
            if len(body) > MAX_BODY_BYTES:
                raise BadRequest(413, "too long a body")
            if size is None and leg.stream.received > most:
                raise BadRequest(413, "too many bytes for its body")
        return None

    def _reserve(self, leg: Leg, size: int) -> None:
        task = leg.task
        assert task is not None
        leg.reservation = self._memory.reserve(size, lambda: self._loop.wake(task))

    def _await_memory(self, leg: Leg, until_us: int) -> Coroutine[bool]:
        """Wait until the leg's reservation, if any, is granted; False if the leg is gone."""
        while leg.reservation is not None and not leg.reservation.granted:
            mask = yield Wait(leg.stream.sock.fileno(), select.EPOLLRDHUP, until_us)
            if mask & HANGUP or self._hand_over(leg, until_us):
                return False
            if leg.evicted or self._loop.now_us() >= until_us:
                raise BadRequest(503, "no memory for the request")
        return True

    def _send_continue(self, leg: Leg, until_us: int) -> Coroutine[None]:
        """Ask for the body if the caller waits for that; not if it has sent a part of it."""
        stream = leg.stream
        if not stream.h11.they_are_waiting_for_100_continue or stream.unparsed:
            return
        stream.put([h11.InformationalResponse(status_code=100, headers=[])])
        while not (yield from stream.flush(until_us)):
            if leg.evicted or self._loop.now_us() >= until_us:
                raise BadRequest(408, "the request did not come whole")
