"""What members say to each other: sealed messages, bytes in and out.  No I/O, no clock.

A datagram is a MessagePack array and, behind it, 16 bytes of its HMAC-SHA256 by the fleet's key.  Whoever has
not the key changes nothing: ``decode`` returns None for it before a byte is read as a message.  What has the
key is still checked field by field.  Sources: SWIM (Das, Gupta, Motivala 2002), RFC 2104 and 4868.
"""

from __future__ import annotations

import hmac
import zlib
from collections.abc import Mapping
from enum import IntEnum
from typing import Annotated, Any

import msgspec
import orjson

from ..core.names import LIST_MOST

VERSION = 1
MESSAGE_MOST = 1200  # bytes of a datagram: below the least MTU of the paths that count, without fragments
TAG = 16  # bytes of the HMAC that are sent
KEY_LEAST = 16  # bytes
UPDATE_MOST = 38  # bytes that one update takes at most: 1 + (1 + 21) + 9 + 1 + 5
UPDATES_MOST = 64

Place = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", max_length=21)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class Kind(IntEnum):
    PING = 0
    ACK = 1
    ASK = 2  # ping ``target`` for me
    NACK = 3  # it has not answered me either
    JOIN = 4  # tell me of the members
    WELCOME = 5


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Stamp(msgspec.Struct, array_like=True, frozen=True):
    """Which list of senders a member holds.  Only stamps of one service can be compared: a higher life of it
    (``era``), then a higher version is newer."""

    service: Place
    era: Number
    rev: Number

    def newer(self, other: Stamp) -> bool:
        return (self.era, self.rev) > (other.era, other.rev)


class Update(msgspec.Struct, array_like=True, frozen=True):
    """One member's state, as somebody knows it; ``by`` is a checksum of who began to suspect it."""

    place: Place
    incarnation: Number
    state: State
    by: Annotated[int, msgspec.Meta(ge=0, lt=2**32)] = 0


class Message(msgspec.Struct, array_like=True, frozen=True):
    """``source`` is where the sender hears; an ACK or NACK has the ``number`` of what it answers."""

    version: int
    kind: Kind
    number: Number
    source: Place
    incarnation: Number
    stamp: Stamp | None = None
    target: Place | None = None
    updates: Annotated[tuple[Update, ...], msgspec.Meta(max_length=UPDATES_MOST)] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def checksum(place: str) -> int:
    return zlib.crc32(place.encode())


def tag(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")[:TAG]


def sealed(key: bytes, data: bytes) -> bytes:
    return data + tag(key, data)


def opened(key: bytes, data: bytes) -> bytes | None:
    """What was sealed with this key; None for anything else."""
    body, found = data[:-TAG], data[-TAG:]
    return body if len(data) > TAG and hmac.compare_digest(found, tag(key, body)) else None


def packed(fields: Mapping[str, Any]) -> bytes:
    """A list, for a way or a disk."""
    return zlib.compress(orjson.dumps(fields), 1)


def unpacked(data: bytes) -> dict[str, Any]:
    """What was packed; raises ValueError for what is torn, too long or no object, within bounded memory."""
    try:
        inflate = zlib.decompressobj()
        text = inflate.decompress(data, LIST_MOST)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    fields = orjson.loads(text) if inflate.eof else None
    if not isinstance(fields, dict):
        raise ValueError("too long, cut off, or not an object")
    return fields


def room(message: Message) -> int:
    """How many updates the message can still take."""
    free = MESSAGE_MOST - TAG - len(_ENCODER.encode(message)) - 4
    return max(0, min(UPDATES_MOST, free // UPDATE_MOST))


def encode(key: bytes, message: Message) -> bytes:
    return sealed(key, _ENCODER.encode(message))


def decode(key: bytes, data: bytes) -> Message | None:
    """The message; None for what is too long, not sealed with the key, or makes no sense."""
    if len(data) > MESSAGE_MOST:
        return None
    body = opened(key, data)
    if body is None:
        return None
    try:
        message = _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        return None
    return message if message.version == VERSION else None
