"""Listening sockets: newly opened, or inherited from the parent process."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable

from ..core.list_entries import Address
from ..core.log import Log
from ..core.loop import Coroutine, Loop, Wait
from .http import NO_DESCRIPTOR_ERRNOS

BACKLOG = 512
CREATE_TIMEOUT_S = 5.0  # how long to wait at start for a free descriptor
CREATE_RETRY_S = 0.05
BIND_RETRY_US = 1_000_000  # a process that is being replaced may still hold the address


class ListenerError(Exception):
    """A listening socket is not available; the message is one line."""


class Listener:
    """Owner of a listening socket.

    It is closed and never shut down, since other processes may hold the same socket.
    """

    def __init__(self, sock: socket.socket, inherited: bool) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.inherited = inherited
        host, port = sock.getsockname()
        self.name = f"{host}:{port}"

    def close(self) -> None:
        self.sock.close()


def _create_socket() -> socket.socket:
    """Create a socket, and retry for ``CREATE_TIMEOUT_S`` while the system is out of descriptors."""
    until = time.monotonic() + CREATE_TIMEOUT_S
    while True:
        try:
            return socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRNOS or time.monotonic() >= until:
                raise ListenerError(f"no socket to listen on: {error}") from None
        time.sleep(CREATE_RETRY_S)


def open_listener(address: Address) -> Listener:
    """Open a socket that listens at ``address``; raises ListenerError."""
    sock = _create_socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise ListenerError(f"cannot listen on {address}: {error}") from None
    return Listener(sock, inherited=False)


def inherit_listener(fd: int) -> Listener:
    """Take over an inherited descriptor; raises ListenerError if it is no listening IPv4 stream socket."""
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        raise ListenerError(f"GW_INHERITED_FD: {fd} is not an open socket: {error.strerror}") from None
    stream = sock.family == socket.AF_INET and sock.type & socket.SOCK_STREAM
    if not stream or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ListenerError(f"GW_INHERITED_FD: {fd} is not a listening IPv4 stream socket")
    os.set_inheritable(fd, False)
    return Listener(sock, inherited=True)


def bind_with_retry(loop: Loop, log: Log, failure: str, bind: Callable[[], None]) -> Coroutine[None]:
    """Call ``bind`` once a second until it succeeds; logs its first OSError as the event ``failure``."""
    failed = False
    while True:
        try:
            bind()
            return
        except OSError as error:
            if not failed:
                log.error(failure, error)
            failed = True
        until = loop.now_us() + BIND_RETRY_US
        while loop.now_us() < until:
            yield Wait(until_us=until)
