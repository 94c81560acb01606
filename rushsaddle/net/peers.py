"""Messages between the nodes of a group, as UDP datagrams that may be late, duplicated or lost."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable

from tansygw.interface import Event, PeerMessage
from tansygw.peers import MAX_MESSAGE_BYTES

from ..core.list_entries import PeerAddresses
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Wait
from .listener import bind_with_retry

MAX_READS_PER_WAKE = 64  # datagrams per wake-up, so that a flood does not block the loop


class PeerLink:
    """The socket for peer messages; only ``run`` opens and closes it."""

    def __init__(
        self, loop: Loop, log: Log, put: Callable[[Event], None], addresses: PeerAddresses, rank: int
    ) -> None:
        self.loop = loop
        self.log = log
        self.put = put
        self.addresses = addresses
        self._ranks = {address: n for n, address in enumerate(addresses.nodes)}
        others = tuple(address for n, address in enumerate(addresses.nodes) if n != rank)
        self._targets = (addresses.broadcast,) if addresses.broadcast is not None else others
        self._sock: socket.socket | None = None

    def run(self) -> Coroutine[None]:
        """Bind the socket, then pass each received message to the decisions."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            yield from bind_with_retry(
                self.loop, self.log, "cannot bind the peer socket yet",
                lambda: sock.bind(self.addresses.listen),
            )
            self._sock = sock
            while True:
                yield Wait(sock.fileno(), select.EPOLLIN)
                self._read(sock)
        finally:
            self._sock = None
            sock.close()

    def _read(self, sock: socket.socket) -> None:
        for _ in range(MAX_READS_PER_WAKE):
            try:
                data, source = sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # ICMP errors of earlier datagrams are reported by the next call
                self.log.error("receiving a peer message failed", error)
                return
            sender = self._ranks.get(source)
            if sender is not None and len(data) <= MAX_MESSAGE_BYTES and data.isascii():
                self.put(PeerMessage(sender, data.decode("ascii")))

    def send(self, text: str) -> None:
        """Send a message to all other nodes; drops it where the socket would block."""
        data = text.encode()
        if self._sock is None or len(data) > MAX_MESSAGE_BYTES:
            return
        for address in self._targets:
            try:
                self._sock.sendto(data, address)
            except OSError:
                continue
