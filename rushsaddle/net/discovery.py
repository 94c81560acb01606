"""The list of next hops: one watch at a time, opened when the decisions subscribe or discovery moves."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from math import inf
from typing import Any, Protocol

import h11
import orjson

from tansygw.interface import Event, ListKind, WorkerList

from ..core.log import Log
from ..core.loop import Coroutine, Loop, Task, Wait
from ..core.names import LIST_MOST, Address, Names
from .http import Lines, Stream
from .nexthop import NextHops

ANSWER_US = 5_000_000  # a call may wait its turn for so long
MOVE_US = 4_000_000  # a service that is new must be heard within this: it is asked again by itself until then
AGAIN_US = (200_000, 1_000_000)  # ... after at most so long at first, doubled each time up to the second
AGAIN_LEAST_US = 50_000  # ... and never sooner
SILENCE_US = 3_500_000  # an empty line comes every 2 s: a watch this silent is dead


def again_us(failed: int, draw: float) -> int:
    """How long to wait after so many calls in a row that failed; ``draw`` is from 0 to 1.

    All nodes are told of the move at once: those that fail together must not come back together, and less
    often each time, for a call that waits too long has cost the service its turn all the same.
    """
    most = min(AGAIN_US[0] << min(failed - 1, 8), AGAIN_US[1])
    return AGAIN_LEAST_US + int(draw * (most - AGAIN_LEAST_US))


class Follower(Protocol):
    """Whoever keeps the list as the service tells it, to pass it on."""

    def saved(self, fields: Any) -> None:
        """What was known before this start."""

    def asked(self) -> None:
        """A call for the list begins."""

    def told(self, fields: Any, whole: bool) -> bool:
        """The service has told this; False where it is older than what came meanwhile."""

    def broke(self) -> None:
        """The call has ended."""

    def moved(self, service: str) -> None:
        """Another service counts from now on."""


class Discovery:
    def __init__(
        self, loop: Loop, log: Log, put: Callable[[Event], None], hops: NextHops, names: Names,
        address: Address, connect_timeout_us: int, draw: Callable[[], float], pushed: bool = False,
    ) -> None:
        self.loop = loop
        self.log = log
        self.put = put
        self.hops = hops
        self.names = names
        self.address = address
        self.connect_timeout_us = connect_timeout_us
        self.draw = draw  # from 0 to 1, each node its own
        self.pushed = pushed  # the list comes unasked: there is always a watch, and it costs nobody anything
        self.follower: Follower | None = None
        self.version = 0
        self._failed = 0  # calls in a row, since the service was replaced
        self._owed = 0  # calls without an answer
        self._following = False  # the open watch has told its first list
        self._moves = 0  # how often the service was replaced
        self._new = False  # the service has told nothing yet: it might read our version as one of its own
        self._hurry_until_us: int | None = None  # it was replaced just now and has not answered yet
        self._task: Task | None = None

    @property
    def following(self) -> bool:
        """The list is as the service tells it."""
        return self._following

    def start(self, known: Any) -> None:
        """What was known before this start is the first event."""
        self._tell(known, ListKind.SAVED)
        self._task = self.loop.spawn(self._run())

    def subscribe(self) -> None:
        if self._following:  # an open watch has told all there is
            self.put(WorkerList(ListKind.CHANGES, (), self.version))
            return
        self._owed += 1
        self._wake()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on: leave the old service for it at once, asked or not."""
        if address != self.address:
            self.address = address
            self._moves += 1
            if self.follower is not None:
                self.follower.moved(f"{address[0]}:{address[1]}")
            self._failed = 0
            self._new = True
            self._hurry_until_us = self.loop.now_us() + MOVE_US
            self._wake()

    def _wake(self) -> None:
        if self._task is not None:
            self.loop.wake(self._task)

    def _run(self) -> Coroutine[None]:
        while True:
            while not self._owed and self._hurry_until_us is None and not self.pushed:
                yield Wait()
            try:
                yield from self._watch(self._moves)
            except Exception as error:
                self.log.error("discovery failed", error)
                until = inf if self.pushed else self._hurry_until_us
                if until is not None:
                    self._failed += 1
                    again = self.loop.now_us() + again_us(self._failed, self.draw())
                    if again < until:
                        yield Wait(until_us=again)
                        continue
                    self._hurry_until_us = None
                # Each call is answered by one event; the end of an answered watch is told, too.
                for _ in range(max(1, self._owed)):
                    self.put(WorkerList(ListKind.FAILED))
                self._owed = 0

    def _watch(self, move: int) -> Coroutine[None]:
        """Follow the list until the watch breaks, or the service is replaced."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        stream = Stream(self.loop, sock, h11.CLIENT)
        try:
            sock.connect_ex(self.address)
            until = self.loop.now_us() + self.connect_timeout_us
            while not (yield Wait(sock.fileno(), select.EPOLLOUT, until)):
                if move != self._moves:
                    return
                if self.loop.now_us() >= until:
                    raise TimeoutError("no connection in time")
            if self.follower is not None:
                self.follower.asked()
            target = "/v1/servers?watch=1" + ("" if self._new else f"&after={self.version}")
            request = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
            stream.put([request, h11.EndOfMessage()])
            patience = self.loop.now_us() + ANSWER_US
            lines = Lines(LIST_MOST)
            while move == self._moves:
                if not (yield from stream.flush(patience)):
                    event = None
                else:
                    event = yield from stream.next_event(patience)
                if event is None:  # woken by a further call or a move, or too late
                    if self.loop.now_us() >= patience:
                        raise TimeoutError("silent")
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise ConnectionError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    for line in lines.feed(bytes(event.data)):
                        if line.strip():
                            self._tell(orjson.loads(line), ListKind.CHANGES)
                            for _ in range(self._owed - 1):
                                self.put(WorkerList(ListKind.CHANGES, (), self.version))
                            self._following, self._owed, self._hurry_until_us = True, 0, None
                            self._failed = 0
                    if self._following:
                        patience = self.loop.now_us() + SILENCE_US
                elif not isinstance(event, h11.InformationalResponse):
                    raise ConnectionError("the watch ended")
        finally:
            self._following = False
            if self.follower is not None:
                self.follower.broke()
            stream.close()

    def passed_on(self, fields: Any, by: str) -> None:
        """A whole list that another node passed on, newer than ours."""
        self._tell(fields, ListKind.COMPLETE, by)

    def _tell(self, fields: Any, kind: ListKind, by: str = "") -> None:
        """News of the list, ``by`` another node or by the service itself."""
        if kind is ListKind.CHANGES and fields.get("all"):
            kind = ListKind.COMPLETE
        entries = self.names.entries(fields["targets"])
        if self.follower is not None and not by:
            if kind is ListKind.SAVED:
                self.follower.saved(fields)
            elif not self.follower.told(fields, kind is ListKind.COMPLETE):
                raise ConnectionError("an older list than one that was passed on: asked again")
        self.version = int(fields["rev"])
        self._new = False
        self.hops.learn(kind is not ListKind.CHANGES, entries)
        passed = {"by": by} if by else {}
        self.log.event("list", kind=kind, version=self.version, entries=len(entries), **passed)
        self.put(WorkerList(kind, tuple(entry for entry, _ in entries), self.version))
