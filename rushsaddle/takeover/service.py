"""Both sides of a takeover: the newer process connects to the older one, which hands over its callers.

They meet at a Unix socket in a folder that they share.  A socket file left by a process that is gone is
harmless, as nobody answers there.  Without the other side each process serves and ends by itself.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from ..core.log import Log
from ..core.loop import Coroutine, Loop, Wait
from ..core.target_set import TargetSet
from ..net.caller import Callers
from ..net.discovery import Discovery
from .followed_list import ReceivedList, split
from .messages import (
    MAX_UNREAD_BYTES,
    ClaimAnswered,
    Ending,
    Hello,
    IdClaimed,
    InvalidMessage,
    ListPart,
    Message,
    Moved,
    Ready,
    RequestReleased,
    RequestsTaken,
    descriptor_share,
)
from .peer import Leg, Peer

SOCKET_NAME = "rushsaddle.sock"
IDS_PER_MESSAGE = 500  # an id has at most 128 bytes
MAX_UNANSWERED_CLAIMS = 4  # a process that has answered none of so many is held up, or knows no claims


class Takeover:
    """The takeover as one process sees it.  ``sockets`` returns the node's limit of descriptors, ``held`` the
    number in use here; ``resize`` receives the number that this process may use."""

    def __init__(
        self, loop: Loop, log: Log, folder: Path, callers: Callers, sockets: Callable[[], int],
        resize: Callable[[int], None], held: Callable[[], int], discovery: Discovery,
    ) -> None:
        self.loop = loop
        self.log = log
        self.path = folder / SOCKET_NAME
        self.callers = callers
        self.sockets = sockets
        self.resize = resize
        self.held = held
        self.successor: Peer | None = None  # the newer process, once it serves
        self.predecessor: Peer | None = None
        self._candidates: dict[Peer, None] = {}  # connected newer processes, ready or not
        self._predecessor_held: int | None = None  # descriptors of the older process once it ends
        self.discovery = discovery
        self._list = TargetSet()  # as this process follows it
        discovery.on_applied = self._on_list
        self.ids = callers.decider.ids
        self.ids.ask = self._claim
        self.ids.on_taken = lambda name: self._tell(RequestsTaken([name]))
        self.ids.on_released = lambda name: self._tell(RequestReleased(name))
        callers.reader.most_recorded_bytes = MAX_UNREAD_BYTES

    def update_share(self) -> None:
        """Recomputes this process's share of the descriptors."""
        shared = self.predecessor is not None or bool(self._candidates)
        self.resize(descriptor_share(self.sockets(), shared, self._predecessor_held))

    # ------------------------------------------------------------ request ids

    def _tell(self, message: Message) -> None:
        """Tell all other processes of this node about the id of a request."""
        for peer in self._peers():
            peer.send(message)

    def _peers(self) -> list[Peer]:
        return [*([self.predecessor] if self.predecessor is not None else []), *self._candidates]

    def other_processes(self) -> list[int]:
        """Process ids of the node's other processes."""
        return [peer.pid for peer in self._peers()]

    def _claim(self, name: str) -> int:
        """Ask all other processes for an id; returns how many of them are expected to answer."""
        expected = 0
        for peer in self._peers():
            expected += peer.unanswered_claims < MAX_UNANSWERED_CLAIMS
            peer.unanswered_claims += 1
            peer.send(IdClaimed(name))
        return expected

    def _on_ids(self, message: Message, peer: Peer) -> None:
        """Another process of this node has, claims or has released requests."""
        if isinstance(message, RequestsTaken):
            self.ids.taken_elsewhere(message.names)
        elif isinstance(message, RequestReleased):
            self.ids.released_elsewhere(message.name)
        elif isinstance(message, IdClaimed):
            granted = self.ids.asked(message.name, by_older=peer is self.predecessor)
            peer.send(ClaimAnswered(message.name, granted))
        elif isinstance(message, ClaimAnswered):
            peer.unanswered_claims = 0
            self.ids.answered(message.name, message.granted)

    def _send_known_ids(self, peer: Peer) -> None:
        names = self.ids.known()
        for start in range(0, len(names), IDS_PER_MESSAGE):
            peer.send(RequestsTaken(names[start : start + IDS_PER_MESSAGE]))

    # ------------------------------------------------------------ the newer process

    def connect_to_predecessor(self, on_gone: Callable[[], None]) -> bool:
        """Connects to the older process; returns False if there is none.

        ``on_gone`` is called once that process is gone: nobody else accepts callers then.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            sock.connect(str(self.path))
        except OSError:  # no process there, a path that is too long, or no Unix sockets
            sock.close()
            return False
        self.predecessor = Peer(self.loop, sock, lambda leg: leg[0].close())
        self.update_share()
        self.loop.spawn(self._follow(self.predecessor, on_gone))
        return True

    def _follow(self, predecessor: Peer, on_gone: Callable[[], None]) -> Coroutine[None]:
        count = incomplete = 0
        received = ReceivedList()
        try:
            while (found := (yield from predecessor.receive())) is not None:
                message, fds = found
                if isinstance(message, Moved) and fds:
                    count += 1
                    incomplete += bool(message.unread)
                    self.callers.adopt(
                        socket.socket(fileno=fds[0]), message.proven, message.elapsed_us, message.unread
                    )
                elif isinstance(message, ListPart):
                    if (fields := received.add(message)) is not None:
                        self.discovery.apply_inherited(fields, message.service)
                elif isinstance(message, Hello):
                    self.log.event("older process", held=message.held)
                elif isinstance(message, Ending):
                    self._predecessor_held = message.held
                    self.update_share()
                else:
                    self._on_ids(message, predecessor)
        except InvalidMessage as error:
            self.log.error("older process", error)
        finally:
            predecessor.close()
            self.predecessor = self._predecessor_held = None
            self.update_share()
            self.log.event("older process gone", legs=count, incomplete_requests=incomplete)
            on_gone()

    def announce_ready(self) -> None:
        """Called once this process serves: the older one may end, and a newer one may connect."""
        if self.predecessor is not None:
            self.predecessor.send(Ready())
        self.loop.spawn(self._accept())

    # ------------------------------------------------------------ the older process

    def _listen(self) -> socket.socket | None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                temporary.unlink()
            sock.bind(str(temporary))
            sock.listen(4)
            temporary.rename(self.path)  # atomic: there is always a process at this path
        except OSError as error:
            self.log.error("cannot be replaced", error)
            sock.close()
            return None
        return sock

    def _accept(self) -> Coroutine[None]:
        listener = self._listen()
        while listener is not None:
            yield Wait(listener.fileno(), select.EPOLLIN)
            with suppress(OSError):
                sock, _ = listener.accept()
                self.loop.spawn(self._serve_candidate(Peer(self.loop, sock, self._take_back)))

    def _serve_candidate(self, candidate: Peer) -> Coroutine[None]:
        """Shares the descriptors with a newer process, which becomes the successor once it serves."""
        self._candidates[candidate] = None
        self.update_share()
        candidate.send(Hello(self.held()))
        self._send_list([candidate], self._list.whole(), whole=True)
        self._send_known_ids(candidate)
        try:
            while (found := (yield from candidate.receive())) is not None:
                message, fds = found
                for fd in fds:
                    os.close(fd)
                if isinstance(message, Ready):
                    self.successor = candidate
                    self.callers.set_successor(candidate)
                    self.log.event("newer process serves")
                else:
                    self._on_ids(message, candidate)
        except InvalidMessage as error:
            self.log.error("newer process", error)
        finally:
            del self._candidates[candidate]
            candidate.close()
            if self.successor is candidate:
                self.successor = None
                self.callers.set_successor(None)
            self.update_share()
            self.log.event("newer process gone")

    def _on_list(self, fields: Mapping[str, Any], whole: bool) -> None:
        """A list, or its changes, was applied here: newer processes may not be told of it themselves."""
        self._list.put(fields, whole)
        self._send_list(self._candidates, fields, whole)

    def _send_list(self, candidates: Iterable[Peer], fields: Mapping[str, Any], whole: bool) -> None:
        for candidate in candidates:
            for part in split(self.discovery.list_service, fields, whole):
                candidate.send(part)

    def _take_back(self, leg: Leg) -> None:
        """Keeps a leg that the successor did not receive before it ended."""
        sock, message = leg
        self.callers.adopt(sock, message.proven, message.elapsed_us, message.unread)

    def announce_ending(self) -> None:
        """Called once this process begins to end; tells the successor how many descriptors are held here."""
        if self.successor is not None:
            self.successor.send(Ending(self.held()))

    @property
    def idle(self) -> bool:
        """Whether everything handed over has been sent."""
        return self.successor is None or self.successor.idle
