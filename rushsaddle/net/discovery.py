"""Client of the discovery service: follows the list of next hops by one watch (a long-lived GET) at a time.

A watch is opened when the decisions subscribe, or when another discovery service is configured.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

import h11

from tansygw.interface import Event, ListKind, WorkerList

from ..core.departures import Departures, Entries
from ..core.list_entries import MAX_LIST_BYTES, Address, EntryReader
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Task, Wait
from .http import JsonSplitter
from .list_retry import LIST_CALL_TIMEOUT_US, ListRetry
from .nexthop import NextHops
from .stream import Stream

SILENCE_TIMEOUT_US = 3_500_000  # the service sends an empty line every 2 s: a watch silent for longer is dead


class ServiceSilent(TimeoutError):
    """A call or a watch receives nothing more: the network path or the host is down."""


class ServiceUnreachable(ConnectionError):
    """No connection: the service has received no call."""


class ListObserver(Protocol):
    """Receives the list as the service sends it, to forward it to other nodes."""

    def on_saved(self, fields: Any) -> None:
        """The list that was known before this start."""

    def on_call(self) -> None:
        """A call to the service begins."""

    def on_list(self, fields: Any, whole: bool) -> bool:
        """The service has sent ``fields``; False if a newer list was forwarded meanwhile."""

    def on_disconnect(self) -> None:
        """The call has ended."""

    def on_service_change(self, service: str) -> None:
        """Another service is authoritative from now on."""


class Discovery:
    """Keeps the list of next hops current and passes its changes to the decisions."""

    def __init__(
        self, loop: Loop, log: Log, put: Callable[[Event], None], hops: NextHops, names: EntryReader,
        address: Address, connect_timeout_us: int, draw: Callable[[], float], retry: ListRetry,
        departures: Departures,
    ) -> None:
        self.loop = loop
        self.log = log
        self.put = put
        self.hops = hops
        self.names = names
        self.address = address
        self.connect_timeout_us = connect_timeout_us
        self.draw = draw  # random, from 0 to 1, different on each node
        self.retry = retry
        self.departures = departures
        self.observer: ListObserver | None = None
        # called with each list that is applied, and whether it is whole
        self.on_applied: Callable[[Any, bool], None] = lambda fields, whole: None
        self.version = 0
        self._pending_calls = 0  # subscriptions without an answer
        self._watching = False  # the open watch has received its first list
        self._reached = True  # the last failed call has used the service's capacity
        self._generation = 0  # number of times that the service was replaced
        # The service has sent nothing yet: it could take our version for one of its own.
        self._new_service = False
        self._listed = False  # a list was received since the start
        self._task: Task | None = None

    @property
    def watching(self) -> bool:
        """A watch is open and has received the list."""
        return self._watching

    @property
    def list_service(self) -> str:
        """The service that the version of the list is of; empty if it was replaced since."""
        return "" if self._new_service else f"{self.address[0]}:{self.address[1]}"

    @property
    def list_resolved(self) -> bool:
        """The list was received, or the service is unreachable.

        A service that was reached but is overloaded is neither: its list counts as known to this node.
        """
        return self._watching or (self.retry.failed > 0 and (self.retry.pushed or not self._reached))

    def start(self, known: Any) -> None:
        """Put the list known before this start as the first event, and start watching."""
        self._apply(known, ListKind.SAVED)
        self._task = self.loop.spawn(self._run())

    def subscribe(self) -> None:
        """The decisions ask for the list; the answer is a WorkerList event."""
        if self._watching:  # an open watch has delivered all changes
            self.put(WorkerList(ListKind.CHANGES, (), self.version))
            return
        self._pending_calls += 1
        self._wake()

    def change_service(self, address: Address) -> None:
        """Switch to the discovery service at ``address`` at once, with or without a pending call."""
        if address != self.address:
            self.address = address
            self._generation += 1
            if self.observer is not None:
                self.observer.on_service_change(f"{address[0]}:{address[1]}")
            self._new_service = True
            self.log.event("discovery service changed", to=f"{address[0]}:{address[1]}")
            self.retry.service_changed(self.loop.now_us())
            self._wake()

    def _wake(self) -> None:
        if self._task is not None:
            self.loop.wake(self._task)

    def _run(self) -> Coroutine[None]:
        retry = self.retry
        while True:
            # Where lists are pushed, a watch is always open, and costs the service nothing.
            while not (self._pending_calls or retry.outdated or retry.pushed):
                yield Wait()
            generation = self._generation
            try:
                yield from self._watch(generation)
            except Exception as error:
                if generation != self._generation:  # it says nothing about the service that is called next
                    self.log.error("replaced discovery service failed", error)
                    continue
                self.log.error("discovery failed", error)
                self._reached = not isinstance(error, ServiceUnreachable | ServiceSilent)
                # Retry until the list is received, which answers all pending subscriptions.
                until = self.loop.now_us() + retry.wait_us(self.loop.now_us(), self._reached, self.draw())
                while generation == self._generation and self.loop.now_us() < until:
                    yield Wait(until_us=until)  # a new subscription waits, too; a new service does not

    def _watch(self, generation: int) -> Coroutine[None]:
        """Follow the list until the watch ends or the service is replaced."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:
            self.hops.evict()  # free a descriptor: callers may hold all others
            raise ServiceUnreachable(f"no socket: {error.strerror}") from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, h11.CLIENT)
        try:
            sock.connect_ex(self.address)
            until = self.loop.now_us() + self.connect_timeout_us
            while not (yield Wait(sock.fileno(), select.EPOLLOUT, until)):
                if generation != self._generation:
                    return
                if self.loop.now_us() >= until:
                    raise ServiceUnreachable("no connection in time")
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if generation != self._generation:
                return
            if code:
                raise ServiceUnreachable(errno.errorcode.get(code, "connect"))
            if self.observer is not None:
                self.observer.on_call()
            target = "/v1/servers?watch=1" + ("" if self._new_service else f"&after={self.version}")
            request = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
            stream.put([request, h11.EndOfMessage()])
            last_received = self.loop.now_us()
            deadline = last_received + LIST_CALL_TIMEOUT_US
            objects = JsonSplitter(MAX_LIST_BYTES)
            while generation == self._generation:
                if not (yield from stream.flush(deadline)):
                    event = None
                else:
                    event = yield from stream.next_event(deadline)
                if generation != self._generation:
                    self._apply_from_replaced_service(event, stream, objects)
                    return
                if event is None:  # woken by a subscription or a new service, or timed out
                    if self.loop.now_us() >= deadline:
                        self.retry.connection_silent(last_received)
                        raise ServiceSilent("no data before the deadline")
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise ConnectionError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    for fields in objects.feed(bytes(event.data)):
                        self._apply(fields, _kind_of(fields))
                        for _ in range(self._pending_calls - 1):
                            self.put(WorkerList(ListKind.CHANGES, (), self.version))
                        self._watching, self._pending_calls = True, 0
                        self.retry.list_received()
                    # A partial line is no heartbeat: trickling bytes would keep a dead watch open.
                    if self._watching and b"\n" in event.data:
                        last_received = self.loop.now_us()
                        deadline = last_received + SILENCE_TIMEOUT_US
                elif not isinstance(event, h11.InformationalResponse):
                    raise ConnectionError("watch ended by the service")
        finally:
            self._watching = False
            if self.observer is not None:
                self.observer.on_disconnect()
            stream.close()

    def _apply_from_replaced_service(self, event: Any, stream: Stream, objects: JsonSplitter) -> None:
        """Apply what had arrived from a service when it was replaced, from ``event`` on.

        Its changes have been told to this node, but do not replace the list of the new service, which is
        still to be called and answers pending subscriptions.
        """
        while isinstance(event, h11.Data | h11.Response | h11.InformationalResponse):
            if isinstance(event, h11.Response) and event.status_code != 200:
                return
            if isinstance(event, h11.Data):
                for fields in objects.feed(bytes(event.data)):
                    kind = _kind_of(fields)
                    fields, entries = self._read(fields)
                    self._update(kind, entries, int(fields["rev"]), replaced=True)
                    self.on_applied(fields, kind is ListKind.COMPLETE)
            event = stream.parse()

    def apply_forwarded(self, fields: Any, by: str) -> None:
        """Apply a complete list that another node forwarded, newer than ours."""
        self._apply(fields, ListKind.COMPLETE, by)

    def apply_inherited(self, fields: Any, service: str) -> None:
        """Apply the whole list that the process being replaced follows, unless one was received here.

        ``service``: the one that its version is of.
        """
        if self._listed:
            return
        if service and service == self.list_service:
            self._apply(fields, ListKind.SAVED)
            return
        fields, entries = self._read(fields)
        self._update(ListKind.SAVED, entries, self.departures.newest, service=service)
        self.on_applied(fields, True)
        if not self._new_service:  # only a whole list of our service is a base for its changes
            self._new_service = True
            self._generation += 1
            self._wake()

    def _apply(self, fields: Any, kind: ListKind, by: str = "") -> None:
        """Apply a list or its changes, from the service or, if ``by`` is set, from another node."""
        fields, entries = self._read(fields)
        if self.observer is not None and not by:
            if kind is ListKind.SAVED:
                self.observer.on_saved(fields)
            elif not self.observer.on_list(fields, kind is ListKind.COMPLETE):
                raise ConnectionError("list is older than one forwarded meanwhile; calling again")
        version = int(fields["rev"])
        if version < self.version and not self._new_service:
            self.log.event("older list received", version=version, after=self.version)
        if self._new_service:  # each service numbers its lists on its own
            self.departures.reset_version()
        self.version = version
        self._new_service = False
        self._listed = self._listed or kind is not ListKind.SAVED
        self._update(kind, entries, version, **({"by": by} if by else {}))
        self.on_applied(fields, kind is not ListKind.CHANGES)

    def _read(self, fields: Any) -> tuple[Any, Entries]:
        """A list with the entries that name a next hop and its state, and those that were parsed.

        Malformed entries and those of an unknown state are not parsed, but may be kept for other processes.
        """
        malformed: list[str] = []
        entries = self.names.entries(fields["targets"], malformed)
        if malformed:
            self.log.event("malformed list entries skipped", count=len(malformed), first=malformed[0])
        return {**fields, "targets": [t for t in fields["targets"] if _is_readable(t)]}, entries

    def _update(self, kind: ListKind, entries: Entries, version: int, **more: Any) -> None:
        """Pass a list to the next hops and to the decisions; ``more``: fields of the log event."""
        before = set(self.departures.departed)
        entries = self.departures.apply_list(
            self.loop.now_us(), entries, kind is not ListKind.CHANGES, version
        )
        self.hops.update_list(kind is not ListKind.CHANGES, entries)
        after = self.departures.departed
        for name, uids in (
            ("leaving", [uid for uid in after if uid not in before]),
            ("back", [uid for uid in before if uid not in after]),
        ):
            if uids:
                more[name] = uids
        self.log.event("list", kind=kind, version=version, entries=len(entries), **more)
        self.put(WorkerList(kind, tuple(entry for entry, _ in entries), version))


def _kind_of(fields: Any) -> ListKind:
    """The kind of a list that a service has sent."""
    return ListKind.COMPLETE if fields.get("all") else ListKind.CHANGES


def _is_readable(target: Any) -> bool:
    return isinstance(target, dict) and isinstance(target.get("uid"), str | int) and "state" in target
