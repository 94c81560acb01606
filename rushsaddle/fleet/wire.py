"""The members' messages: authenticated datagrams, encoded and decoded.  No I/O, no clock.

A datagram is a MessagePack array followed by 16 bytes of its HMAC-SHA256 under the fleet's key.  A sender
without the key changes nothing: ``decode`` returns None before a byte is parsed.  Authenticated messages are
still checked field by field, and ``invalid_reason`` says what was wrong.  Sources: SWIM (Das, Gupta, Motivala
2002), RFC 2104 and 4868.

Version 1: [1, kind, number, source, incarnation, stamp, target, updates, max_version], where an update is
[place, incarnation, state, accuser].  The last field was added later and is ignored by members that do not
know it.
Version 2: [2, kind, head, stamp, target, body], without trailing fields that are nil or empty.  The head has
24 bytes: number (4), the sender's own entry (12, see ``table``), its root digest (8); the target has 6.  The
body of COMPARE is the digest vector; that of ENTRIES a byte n, n leaves that are sent whole, and 12 bytes for
each entry; that of all others updates, each an entry and the 4-byte checksum of the member that accuses it.

Bounds: a datagram has at most ``MAX_MESSAGE_BYTES`` bytes: ``MAX_PACKED_UPDATES`` updates, or ``MAX_ENTRIES``
entries.
"""

from __future__ import annotations

import hmac
import struct
import zlib
from collections.abc import Mapping
from enum import IntEnum
from typing import Annotated, Any

import msgspec
import orjson

from ..core.list_entries import MAX_LIST_BYTES
from .table import (
    DIGEST_VECTOR,
    ENTRY_BYTES,
    MAX_ROOT,
    PLACE_BYTES,
    Entry,
    decode_entry,
    make_entry,
    pack_place,
    unpack_place,
)
from .table import State as State

VERSION_1 = 1
VERSION_2 = 2  # adds anti-entropy: roots, digest vectors and entries
MAX_MESSAGE_BYTES = 1200  # of a datagram: below the smallest MTU of the paths in use, to avoid fragmentation
MAC_BYTES = 16  # the HMAC is truncated to these
MIN_KEY_BYTES = 16
MAX_UPDATE_BYTES = 38  # one update in version 1: 1 + (1 + 21) + 9 + 1 + 5
MAX_UPDATES = 64

Place = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", max_length=21)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
MaxVersion = Annotated[int, msgspec.Meta(ge=1, le=2)]


class Kind(IntEnum):
    """The kinds of messages; the numbers are on the wire."""

    PING = 0
    ACK = 1
    PING_REQ = 2  # indirect probe: ping ``target`` on behalf of the sender
    NACK = 3  # the target of a PING_REQ has not answered
    JOIN = 4  # asks for the members
    WELCOME = 5  # the answer to JOIN
    COMPARE = 6  # the sender's digest vector; asks for the leaves that differ
    ENTRIES = 7  # the answer to COMPARE, and what is sent back


class Stamp(msgspec.Struct, array_like=True, frozen=True):
    """Identifies the target list that a member holds.  Only stamps of one service can be compared: a higher
    life of it (``era``), then a higher version (``rev``) is newer."""

    service: Place
    era: Number
    rev: Number

    def newer(self, other: Stamp) -> bool:
        """Whether this stamp, of the same service, is newer than another."""
        return (self.era, self.rev) > (other.era, other.rev)


class Update(msgspec.Struct, array_like=True, frozen=True):
    """One member's state as the sender knows it; ``accuser`` is the checksum of a member that suspects it."""

    place: Place
    incarnation: Number
    state: State
    accuser: Annotated[int, msgspec.Meta(ge=0, lt=2**32)] = 0
    max_version: MaxVersion = 1  # sent in version 2 only


class Message(msgspec.Struct, frozen=True):
    """One message.  ``source`` is the sender's address; an ACK or NACK has the ``number`` of the message it
    answers.  ``max_version`` is the highest protocol version that the sender supports."""

    version: int
    kind: Kind
    number: int
    source: str
    incarnation: int
    stamp: Stamp | None = None
    target: str | None = None
    updates: tuple[Update, ...] = ()
    root: int | None = None  # digest of the sender's table
    vector: bytes = b""  # in COMPARE
    leaves: bytes = b""  # in ENTRIES: those that are sent whole
    entries: tuple[Entry, ...] = ()
    max_version: int = 1


class _MessageV1(msgspec.Struct, array_like=True, frozen=True):
    """A message of version 1, as decoded."""

    version: int
    kind: Kind
    number: Number
    source: Place
    incarnation: Number
    stamp: Stamp | None = None
    target: Place | None = None
    updates: Annotated[tuple[Update, ...], msgspec.Meta(max_length=MAX_UPDATES)] = ()
    max_version: MaxVersion = 1


_HEAD = struct.Struct(f">I{ENTRY_BYTES}sQ")
HEAD_BYTES = _HEAD.size


class _MessageV2(msgspec.Struct, array_like=True, frozen=True):
    """A message of version 2, as decoded."""

    version: int
    kind: Kind
    head: Annotated[bytes, msgspec.Meta(min_length=HEAD_BYTES, max_length=HEAD_BYTES)]
    stamp: Stamp | None = None
    target: Annotated[bytes, msgspec.Meta(min_length=PLACE_BYTES, max_length=PLACE_BYTES)] | None = None
    body: bytes = b""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER_V1 = msgspec.msgpack.Decoder(_MessageV1)
_DECODER_V2 = msgspec.msgpack.Decoder(_MessageV2)
_PACKED_UPDATE = struct.Struct(f">{ENTRY_BYTES}sI")

PING_BYTES_V2 = 45  # a ping of version 2 without updates
PING_BYTES_V1 = 64  # a ping of version 1 without updates, at most
STAMP_BYTES = 41
BODY_BYTES = 6  # overhead of a body: nil fields before it, its own header, the number of leaves
# array, version, kind, head, stamp, target, the body's own header
MAX_HEAD_BYTES = 1 + 1 + 1 + 2 + HEAD_BYTES + STAMP_BYTES + 8 + 3
PACKED_UPDATE_BYTES = _PACKED_UPDATE.size
MAX_PACKED_UPDATES = min(MAX_UPDATES, (MAX_MESSAGE_BYTES - MAC_BYTES - MAX_HEAD_BYTES) // PACKED_UPDATE_BYTES)
ENTRIES_CAPACITY_BYTES = MAX_MESSAGE_BYTES - MAC_BYTES - MAX_HEAD_BYTES - 1  # bytes for leaves and entries
MAX_ENTRIES = ENTRIES_CAPACITY_BYTES // ENTRY_BYTES
COMPARE_BYTES = MAC_BYTES + MAX_HEAD_BYTES + DIGEST_VECTOR.size


def checksum(place: str) -> int:
    """The CRC-32 of a place, which identifies an accuser."""
    return zlib.crc32(place.encode())


def mac(key: bytes, data: bytes) -> bytes:
    """The truncated HMAC-SHA256 of ``data``."""
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]


def signed(key: bytes, data: bytes) -> bytes:
    """``data`` followed by its HMAC."""
    return data + mac(key, data)


def verified(key: bytes, data: bytes) -> bytes | None:
    """The data without its HMAC; None if that is missing or wrong."""
    body, found = data[:-MAC_BYTES], data[-MAC_BYTES:]
    return body if len(data) > MAC_BYTES and hmac.compare_digest(found, mac(key, body)) else None


def compress_list(fields: Mapping[str, Any]) -> bytes:
    """Compresses a target list for the network or the disk."""
    return zlib.compress(orjson.dumps(fields), 1)


def decompress_list(data: bytes) -> dict[str, Any]:
    """Undoes ``compress_list`` within bounded memory; raises ValueError for invalid or oversized data."""
    try:
        inflate = zlib.decompressobj()
        text = inflate.decompress(data, MAX_LIST_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    fields = orjson.loads(text) if inflate.eof else None
    if not isinstance(fields, dict):
        raise ValueError("compressed list is too long, truncated, or not a JSON object")
    return fields


def update_capacity(message: Message) -> int:
    """The number of updates that a message without any has room for."""
    if message.version == VERSION_2:
        return MAX_PACKED_UPDATES
    free = MAX_MESSAGE_BYTES - MAC_BYTES - len(_encode_v1(message)) - 4
    return max(0, min(MAX_UPDATES, free // MAX_UPDATE_BYTES))


def estimated_size(message: Message) -> int:
    """The approximate size of the datagram, without encoding it: at most some 30 bytes too large."""
    head = PING_BYTES_V2 if message.version == VERSION_2 else PING_BYTES_V1
    head += (STAMP_BYTES if message.stamp else 0) + (9 if message.target else 0)
    if message.version != VERSION_2:
        return head + MAX_UPDATE_BYTES * len(message.updates)
    head += BODY_BYTES if message.updates or message.kind > Kind.WELCOME else 0
    return (head + PACKED_UPDATE_BYTES * len(message.updates) + len(message.vector) + len(message.leaves)
            + ENTRY_BYTES * len(message.entries))


def encode(key: bytes, message: Message) -> bytes:
    """Encodes a datagram; raises ValueError for values that version 2 cannot represent."""
    return signed(key, _encode_v2(message) if message.version == VERSION_2 else _encode_v1(message))


def _encode_v1(m: Message) -> bytes:
    updates = [(u.place, u.incarnation, u.state, u.accuser) for u in m.updates]
    fields = [m.version, m.kind, m.number, m.source, m.incarnation, m.stamp, m.target, updates]
    return _ENCODER.encode(fields if m.max_version == 1 else [*fields, m.max_version])


def _encode_v2(m: Message) -> bytes:
    own = make_entry(m.source, m.incarnation, State.ALIVE, VERSION_2).packed
    head = _HEAD.pack(m.number & 0xFFFFFFFF, own, m.root or 0)
    target = None if m.target is None else pack_place(m.target)
    match m.kind:
        case Kind.COMPARE:
            body = m.vector
        case Kind.ENTRIES:
            body = bytes([len(m.leaves)]) + m.leaves + b"".join([e.packed for e in m.entries])
        case _:
            body = b"".join([
                _PACKED_UPDATE.pack(
                    make_entry(u.place, u.incarnation, u.state, u.max_version).packed, u.accuser
                )
                for u in m.updates
            ])
    fields: list[Any] = [m.version, m.kind, head, m.stamp, target, body]
    while not fields[-1] and len(fields) > 3:
        fields.pop()
    return _ENCODER.encode(fields)


def decode(key: bytes, data: bytes) -> Message | None:
    """Decodes a datagram; None if it is too long, not authentic, or invalid."""
    found = _parse(key, data)
    return found if isinstance(found, Message) else None


def invalid_reason(key: bytes, data: bytes) -> str | None:
    """Why an authentic datagram is invalid; None if it is valid, or not authentic."""
    found = _parse(key, data)
    return found if isinstance(found, str) else None


def _parse(key: bytes, data: bytes) -> Message | str | None:
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    body = verified(key, data)
    if body is None:
        return None
    try:
        if body[1:2] == b"\x02":
            return _from_v2(_DECODER_V2.decode(body))
        message = _DECODER_V1.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        return str(error)
    if message.version != VERSION_1:
        return f"unsupported version {message.version}"
    return Message(
        VERSION_1, message.kind, message.number, message.source, message.incarnation, message.stamp,
        message.target, message.updates, max_version=message.max_version,
    )


def _from_v2(m: _MessageV2) -> Message:
    """Checks and unpacks a message of version 2; raises ValueError."""
    number, own, root = _HEAD.unpack(m.head)
    head = decode_entry(own)
    if root >= MAX_ROOT:
        raise ValueError("root digest of more than 60 bits")
    if m.version != VERSION_2 or head.max_version != VERSION_2 or head.state is not State.ALIVE:
        raise ValueError("sender entry is not alive, or does not support version 2")
    updates: tuple[Update, ...] = ()
    entries: tuple[Entry, ...] = ()
    vector = leaves = b""
    match m.kind:
        case Kind.COMPARE:
            vector = m.body
            if len(vector) != DIGEST_VECTOR.size:
                raise ValueError(f"digest vector of {len(vector)} bytes")
        case Kind.ENTRIES:
            count = m.body[0] if m.body else 0
            leaves, rest = m.body[1 : 1 + count], m.body[1 + count :]
            if not m.body or len(leaves) != count or len(rest) % ENTRY_BYTES:
                raise ValueError(f"truncated entries: {len(m.body)} bytes, {count} leaves")
            entries = tuple(
                [decode_entry(rest[n : n + ENTRY_BYTES]) for n in range(0, len(rest), ENTRY_BYTES)]
            )
        case _:
            if len(m.body) % PACKED_UPDATE_BYTES or len(m.body) > MAX_UPDATES * PACKED_UPDATE_BYTES:
                raise ValueError(f"updates of {len(m.body)} bytes")
            updates = tuple([
                _unpack_update(packed, accuser) for packed, accuser in _PACKED_UPDATE.iter_unpack(m.body)
            ])
    return Message(
        VERSION_2, m.kind, number, head.place, head.incarnation, m.stamp,
        None if m.target is None else unpack_place(m.target), updates, root, vector, leaves, entries,
        VERSION_2,
    )


def _unpack_update(packed: bytes, accuser: int) -> Update:
    entry = decode_entry(packed)
    return Update(entry.place, entry.incarnation, entry.state, accuser, entry.max_version)
