"""The members' sockets and the transfer of target lists, as ``members`` and ``target_list`` decide.

One UDP socket and one TCP listener at the same address.  A member that hears of a newer list fetches it by
``GET /list/NUMBER`` from the member that announced it, one fetch at a time, so that nobody is flooded with
lists.  The answer is authenticated with the fleet's key and bound to the number, so that an old one cannot be
replayed.
"""

from __future__ import annotations

import select
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

import h11
import msgspec
import orjson

from ..core.list_entries import MAX_LIST_BYTES, Address, address
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Task, Wait
from ..net.listener import bind_with_retry
from ..net.stream import Stream
from .log_limiter import LogLimiter
from .members import Members, Outgoing, Rules
from .saved_state import SavedList, StateWriter
from .target_list import TargetList
from .view import FIRST_PAGE, PageRequest, members_page, parse_page_request, stamp_fields
from .wire import (
    MAX_MESSAGE_BYTES,
    Message,
    Stamp,
    compress_list,
    decode,
    decompress_list,
    encode,
    invalid_reason,
    mac,
    signed,
    verified,
)

MAX_READS = 32  # datagrams in one wake, so that a flood does not block the loop
MAX_READ_US = 4_000  # time of one wake: full datagrams take the most work; the rest waits for the next wake
MAX_CHANGE_LINES = 16  # changes in one wake logged one by one; more are logged as one line of counts
MAX_CONCURRENT_SERVES = 16  # lists served at once; other members turn elsewhere
FETCH_TIMEOUT_US = 1_000_000  # to fetch, or to serve, a list
AVOID_US = 1_000_000  # after a failed fetch no other from the same member, so that it does not keep us busy
MAX_AVOIDED = 64
SAVE_INTERVAL_US = 2_000_000  # between writes of a changing list to disk
RESAVE_INTERVAL_US = 60_000_000  # between writes of an unchanged list, to refresh its time


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """``listen`` is bound; ``advertised`` is announced to others instead, e.g. behind address translation."""

    listen: Address
    advertised: str | None
    seeds: tuple[str, ...]
    key: bytes
    rules: Rules


class ListEnvelope(msgspec.Struct, array_like=True, frozen=True):
    """A target list in transit: the number of the request, the list's stamp, and its compressed JSON."""

    number: int
    stamp: Stamp
    compressed: bytes


class InvalidList(Exception):
    """A list from another member is rejected; the message says why."""


def encode_list(key: bytes, number: int, stamp: Stamp, whole: Mapping[str, Any]) -> bytes:
    """The authenticated answer to request ``number``."""
    return signed(key, msgspec.msgpack.encode(ListEnvelope(number, stamp, compress_list(whole))))


def decode_list(key: bytes, number: int, data: bytes) -> tuple[Stamp, dict[str, Any]]:
    """Decodes a list; raises InvalidList if it is corrupt, too long, not authentic, or of another request."""
    body = verified(key, data)
    if body is None:
        raise InvalidList("not authenticated with the fleet's key")
    try:
        envelope = msgspec.msgpack.decode(body, type=ListEnvelope)
        if envelope.number != number:
            raise InvalidList("answer to another request")
        return envelope.stamp, decompress_list(envelope.compressed)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidList(str(error)) from None


class Fleet:
    """The service of one node.  ``check`` raises if a list is invalid, and then nothing changes; ``on_list``
    receives each newer list and the place that it came from."""

    def __init__(
        self, loop: Loop, log: Log, options: FleetOptions, target_list: TargetList,
        check: Callable[[Any], Any], on_list: Callable[[Any, str], None], draw: Random,
        first_list_timeout_us: int,
    ) -> None:
        self.loop = loop
        self.log = log
        self.options = options
        self.target_list = target_list
        self.check = check
        self.on_list = on_list
        self.draw = draw
        # A node without a target list waits this long before it accepts callers.
        self.first_list_timeout_us = first_list_timeout_us
        self.members: Members | None = None
        self.state_writer: StateWriter | None = None  # None without a folder for the saved state
        self.restored_list: Any = None  # from the saved state, to start with
        self._saved: tuple[Stamp | None, int] = (None, 0)  # what was last given to the state writer, and when
        self._save_error = ""
        self.fetches = self.failed_fetches = self.unauthenticated = 0
        self._sock: socket.socket | None = None
        self._tick_task: Task | None = None
        self._fetching = False
        self._avoid: dict[str, int] = {}  # end of the time, by place
        self._serving = 0
        self._log_limiter = LogLimiter()

    def start(self) -> None:
        """Starts the service on the loop."""
        self.loop.spawn(self._run())

    def has_list(self) -> bool:
        """Whether there is a target list, from the service or from a member."""
        return self.target_list.loaded

    def leave(self) -> None:
        """Announces to some members that this one leaves."""
        if self.members is not None:
            self._send(self.members.leave())

    def _run(self) -> Coroutine[None]:
        """Owns both sockets."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            yield from bind_with_retry(
                self.loop, self.log, "cannot bind members socket", lambda: listener.bind(self.options.listen)
            )
            # A port that the system chose for TCP may be in use for UDP.
            host, port = listener.getsockname()
            yield from bind_with_retry(
                self.loop, self.log, "cannot bind members socket", lambda: datagrams.bind((host, port))
            )
            yield from bind_with_retry(
                self.loop, self.log, "cannot bind members socket",
                lambda: listener.listen(MAX_CONCURRENT_SERVES),
            )
            me = self.options.advertised or f"{host}:{port}"
            now = self.loop.now_us()
            members = self.members = Members(
                me, now // 1000, self.options.seeds, self.options.rules, self.draw, now
            )
            self._sock = datagrams
            self.log.event("members", listen=f"{host}:{port}", me=me, seeds=len(members.seeds))
            self.loop.spawn(self._accept(listener))
            self._tick_task = self.loop.spawn(self._tick_loop(members))
            while True:
                yield Wait(datagrams.fileno(), select.EPOLLIN)
                self._read(datagrams, members)
        finally:
            self._sock = None
            datagrams.close()
            listener.close()

    # ------------------------------------------------------------ datagrams

    def _tick_loop(self, members: Members) -> Coroutine[None]:
        while True:
            now = self.loop.now_us()
            if now >= members.due_us:
                members.stamp = self.target_list.stamp
                self._send(members.tick(now))
                self._log_changes(members)
                if self.state_writer is not None:
                    self._save_list(self.state_writer, now)
            yield Wait(until_us=members.due_us)

    def _read(self, sock: socket.socket, members: Members) -> None:
        due = members.due_us
        until = self.loop.now_us() + MAX_READ_US
        for _ in range(MAX_READS):
            if self.loop.now_us() >= until:
                break
            try:
                data, (host, port) = sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:  # an ICMP error for an earlier datagram
                continue
            message = decode(self.options.key, data)
            now = self.loop.now_us()
            if message is None:
                self._handle_invalid(now, data, f"{host}:{port}")
                continue
            members.stamp = self.target_list.stamp
            self._send(members.receive(now, message))
            self._maybe_fetch(now, message)
        self._log_changes(members)
        if members.due_us < due and self._tick_task is not None:
            self.loop.wake(self._tick_task)

    def _handle_invalid(self, now: int, data: bytes, source: str) -> None:
        """Counts unauthenticated datagrams; logs authentic but invalid ones, as they come from a member."""
        why = invalid_reason(self.options.key, data)
        if why is None:
            self.unauthenticated += 1
        elif (more := self._log_limiter.due(now, why)) is not None:
            self.log.event("message not taken", source=source, why=why, more=more)

    def _send(self, outgoing: list[Outgoing]) -> None:
        """Sends messages; those that the socket does not take at once are dropped, like lost datagrams."""
        for place, message in outgoing:
            if self._sock is None:
                return
            try:
                self._sock.sendto(encode(self.options.key, message), address(place))
            except (OSError, ValueError):
                continue

    def _log_changes(self, members: Members) -> None:
        """Logs state changes in a bounded number of lines: thousands, as at a cold start, as counts."""
        changes = members.changes
        if len(changes) > MAX_CHANGE_LINES:
            counts = Counter(change.after.name.lower() for change in changes)
            self.log.event("members changed", **counts)
        else:
            for change in changes:
                before = None if change.before is None else change.before.name.lower()
                self.log.event("member", place=change.place, before=before, now=change.after.name.lower())
        changes.clear()
        now = self.loop.now_us()
        for why in members.faults:
            if (more := self._log_limiter.due(now, why)) is not None:
                self.log.event("member fault", why=why, more=more)
        members.faults.clear()

    def _save_list(self, state_writer: StateWriter, now: int) -> None:
        """Saves the list when it has changed, and now and then when it has not, to refresh its time."""
        stamp, (before, at) = self.target_list.stamp, self._saved
        if stamp is not None and now - at > (SAVE_INTERVAL_US if stamp != before else RESAVE_INTERVAL_US):
            if state_writer.save("list", SavedList.of(stamp, now, self.target_list.whole())):
                self._saved = stamp, now
        if state_writer.failed != self._save_error:
            self._save_error = state_writer.failed
            self.log.event(
                "copy not written" if state_writer.failed else "copy written again", why=state_writer.failed
            )

    # ------------------------------------------------------------ lists

    def _maybe_fetch(self, now: int, message: Message) -> None:
        if self._fetching or now < self._avoid.get(message.source, 0):
            return
        if self.target_list.should_fetch(now, message.stamp):
            self._fetching = True
            self.loop.spawn(self._fetch_list(message.source))

    def _fetch_list(self, place: str) -> Coroutine[None]:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        stream = Stream(self.loop, sock, h11.CLIENT)
        try:
            self.fetches += 1
            number = self.draw.getrandbits(60)
            stamp, fields = decode_list(
                self.options.key, number, (yield from self._request_list(stream, place, number))
            )
            self.check(fields)
            if self.target_list.accept(self.loop.now_us(), stamp, fields):
                self.on_list(fields, place)
        except (OSError, h11.ProtocolError, InvalidList, KeyError, TypeError, ValueError) as error:
            self.failed_fetches += 1
            if len(self._avoid) >= MAX_AVOIDED:
                self._avoid.clear()
            self._avoid[place] = self.loop.now_us() + AVOID_US
            self.log.error("list fetch failed", error, member=place)
        finally:
            self._fetching = False
            stream.close()

    def _request_list(self, stream: Stream, place: str, number: int) -> Coroutine[bytes]:
        until = self.loop.now_us() + FETCH_TIMEOUT_US
        stream.sock.connect_ex(address(place))
        while not (yield Wait(stream.sock.fileno(), select.EPOLLOUT, until)):
            if self.loop.now_us() >= until:
                raise TimeoutError("connection timed out")
        target = f"/list/{number}"
        seal = mac(self.options.key, target.encode()).hex()
        stream.put([
            h11.Request(method="GET", target=target, headers=[("Host", "member"), ("X-Seal", seal)]),
            h11.EndOfMessage(),
        ])
        if not (yield from stream.flush(until)):
            raise TimeoutError("sending the request timed out")
        body = bytearray()
        while not isinstance(event := (yield from stream.next_event(until)), h11.EndOfMessage):
            if event is None or isinstance(event, h11.ConnectionClosed):
                raise TimeoutError("no list before the timeout, or connection closed")
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise ConnectionError(f"status {event.status_code}")
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_LIST_BYTES:
                    raise InvalidList("list is too long")
        return bytes(body)

    def _accept(self, listener: socket.socket) -> Coroutine[None]:
        while True:
            yield Wait(listener.fileno(), select.EPOLLIN)
            try:
                sock, _ = listener.accept()
            except OSError:  # aborted in the backlog, or no free descriptor: retry later
                yield Wait(until_us=self.loop.now_us() + FETCH_TIMEOUT_US // 20)
                continue
            sock.setblocking(False)
            if self._serving >= MAX_CONCURRENT_SERVES:
                sock.close()
                continue
            self._serving += 1
            self.loop.spawn(self._serve(sock))

    def _serve(self, sock: socket.socket) -> Coroutine[None]:
        stream = Stream(self.loop, sock, h11.SERVER)
        until = self.loop.now_us() + FETCH_TIMEOUT_US
        try:
            event = yield from stream.next_event(until)
            if isinstance(event, h11.Request):
                status, body = self._answer(event)
                headers = [("Content-Length", str(len(body))), ("Connection", "close")]
                head = h11.Response(status_code=status, headers=headers)
                stream.put([head, h11.Data(data=body), h11.EndOfMessage()])
                if (yield from stream.flush(until)):
                    yield from stream.linger()
        except (OSError, h11.ProtocolError):
            pass  # the client is gone, or does not speak HTTP
        finally:
            self._serving -= 1
            stream.close()

    def _answer(self, request: h11.Request) -> tuple[int, bytes]:
        target = bytes(request.target)
        seal = dict(request.headers).get(b"x-seal", b"")
        if seal != mac(self.options.key, target).hex().encode():
            self.unauthenticated += 1
            return 403, b""
        what, _, number = target.decode("latin-1").removeprefix("/").partition("/")
        stamp = self.target_list.stamp
        if what == "members":
            page = parse_page_request(number.split("/")[1:])
            if page is None:
                return 404, b""
            return 200, signed(self.options.key, orjson.dumps(self.describe(page, target.decode("latin-1"))))
        if what != "list" or not (number.isascii() and number.isdigit() and len(number) < 20):
            return 404, b""
        if stamp is None:
            return 409, b""
        return 200, encode_list(self.options.key, int(number), stamp, self.target_list.whole())

    def describe(self, request: PageRequest = FIRST_PAGE, target: str | None = None) -> dict[str, Any]:
        """This member's state and a page of the other members, for JSON."""
        members = self.members
        if members is None:
            return {"me": None, "target": target, "members": []}
        return {
            "me": members.me, "incarnation": members.incarnation, "health": members.health,
            "list": stamp_fields(self.target_list.stamp), "direct": self.target_list.direct,
            "fetched": self.fetches, "failed": self.failed_fetches, "strangers": self.unauthenticated,
            "target": target,
            **members_page(members, request),
        }
