"""The messages between two processes during a takeover, encoded and decoded.  No I/O.

A message is one datagram: a JSON object on one line, then, for a caller's connection, the bytes that were
read from it and not yet consumed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

MAX_MESSAGE_BYTES = 160 * 1024  # an incomplete request, unless it comes in very small chunks
MAX_UNREAD_BYTES = MAX_MESSAGE_BYTES - 1024  # leaves room for the line before them
MAX_TARGETS_BYTES = 64 * 1024  # of the entries in one message


class InvalidMessage(Exception):
    """A datagram is not a valid message, or truncated."""


@dataclass(slots=True, frozen=True)
class Hello:
    """Sent by the older process when the newer one connects."""

    held: int  # descriptors in use


@dataclass(slots=True, frozen=True)
class Ready:
    """Sent by the newer process once it serves."""


@dataclass(slots=True, frozen=True)
class Ending:
    """Sent by the older process when it begins to end; it then hands over idle connections."""

    held: int


@dataclass(slots=True, frozen=True)
class Moved:
    """A caller's connection handed over; its descriptor is sent with the message."""

    proven: bool  # it has sent a valid request
    elapsed_us: int = 0  # of the time for the request that ``unread`` begins, or since the connect
    unread: bytes = b""  # the beginning of its next request: the head, or the head and a part of the body


@dataclass(slots=True, frozen=True)
class ListPart:
    """A part of the list that the older process follows, or of a change of it."""

    service: str  # address of the service that the version is of; empty if that was replaced
    version: int
    whole: bool  # the list is complete, else its changes
    last: bool  # nothing more of this list or change follows
    targets: list[Any]  # entries in the service's format


@dataclass(slots=True, frozen=True)
class RequestsTaken:
    """Ids of requests that this process has, or that may have run here: they must not run at the other."""

    names: list[str]


@dataclass(slots=True, frozen=True)
class RequestReleased:
    """A request has ended here and has not run: its id may come again."""

    name: str


@dataclass(slots=True, frozen=True)
class IdClaimed:
    """This process is about to use an id that must not run twice, unless the other one has it."""

    name: str


@dataclass(slots=True, frozen=True)
class ClaimAnswered:
    """The answer to ``IdClaimed``."""

    name: str
    granted: bool


@dataclass(slots=True, frozen=True)
class Unknown:
    """A message of a later version, to be ignored."""


IdMessage = RequestsTaken | RequestReleased | IdClaimed | ClaimAnswered
Message = Hello | Ready | Ending | Moved | ListPart | IdMessage | Unknown


def encode(message: Message) -> bytes:
    """The datagram of a message."""
    fields: dict[str, object] = {"note": type(message).__name__.lower()}
    rest = b""
    if isinstance(message, Hello | Ending):
        fields["held"] = message.held
    elif isinstance(message, Moved):
        fields["proven"], fields["elapsed_us"] = message.proven, message.elapsed_us
        rest = message.unread
    elif isinstance(message, ListPart):
        fields = {"note": "list", "service": message.service, "version": message.version,
                  "whole": message.whole, "last": message.last}
        rest = orjson.dumps(message.targets)
    elif isinstance(message, RequestsTaken):
        fields = {"note": "taken", "names": message.names}
    elif isinstance(message, RequestReleased):
        fields = {"note": "released", "name": message.name}
    elif isinstance(message, IdClaimed):
        fields = {"note": "claimed", "name": message.name}
    elif isinstance(message, ClaimAnswered):
        fields = {"note": "answered", "name": message.name, "granted": message.granted}
    return orjson.dumps(fields) + b"\n" + rest


def decode(data: bytes) -> Message:
    """Decodes a datagram; raises InvalidMessage."""
    head, found, rest = data.partition(b"\n")
    try:
        fields = orjson.loads(head)
        if not found:
            raise InvalidMessage("truncated message")
        kind = fields["note"]
        if kind in ("hello", "ending"):
            held = _count("held", fields["held"])
            return Hello(held) if kind == "hello" else Ending(held)
        if kind == "list":
            return _list_part(fields, orjson.loads(rest))
        if kind == "ready":
            return Ready()
        if kind == "taken":
            return RequestsTaken(_names(fields["names"]))
        if kind == "released":
            return RequestReleased(_names([fields["name"]])[0])
        if kind == "claimed":
            return IdClaimed(_names([fields["name"]])[0])
        if kind == "answered":
            return ClaimAnswered(_names([fields["name"]])[0], fields["granted"] is True)
        if kind == "moved":
            return Moved(fields["proven"] is True, _count("elapsed_us", fields.get("elapsed_us", 0)), rest)
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise InvalidMessage(f"not a message: {error}") from None
    return Unknown()


def _list_part(fields: Any, targets: Any) -> ListPart:
    service, version = fields["service"], _count("version", fields["version"])
    if not isinstance(service, str) or not isinstance(targets, list):
        raise InvalidMessage("service must be a text, and the entries a list")
    if not all(isinstance(target, dict) and "uid" in target and "state" in target for target in targets):
        raise InvalidMessage("an entry must have uid and state")
    return ListPart(service, version, fields["whole"] is True, fields["last"] is True, targets)


def _names(names: Any) -> list[str]:
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidMessage("ids must be texts")
    return names


def _count(name: str, value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise InvalidMessage(f"{name} must be a non-negative integer, not {value!r}")
    return value


def descriptor_share(sockets: int, shared: bool, held: int | None) -> int:
    """The number of the node's ``sockets`` descriptors that this process may use.

    Two processes that serve at the same time have half each.  Once the older one ends (``held``: what it
    still holds), the newer one has all others, as the connections are handed over to it.
    """
    if not shared:
        return sockets
    if held is None:
        return sockets // 2
    return max(sockets // 2, sockets - held)
