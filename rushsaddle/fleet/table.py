"""The membership table: one entry per member, the members that are up, and digests for anti-entropy.

An entry takes 12 bytes on the wire: IPv4 address (4), port (2), then 48 bits of incarnation (45), highest
protocol version (1) and state (2).  All members of one process share the entry objects (``decode_entry`` is
cached).

For comparison the table is split into 256 leaves; a member's leaf is the low byte of the CRC-32 of its 6
packed address bytes.  A leaf's digest is the XOR of the low 32 bits of the fingerprints of its members that
are up, the root the XOR of all their 60-bit fingerprints; a fingerprint is a BLAKE2b hash (RFC 7693) of place
and incarnation alone.  Suspicion and the protocol version change no digest, and dead or left members
(tombstones) are in none, so tables still match when one side expires a tombstone earlier than the other.

Bounds, for N members: a change, a look-up and a random draw are O(1); a digest vector has 4 * 256 bytes; two
different tables have the same root with a probability of 2**-60, and two different leaves the same digest
with 2**-32.  A leaf holds at most ``MAX_LEAF_ENTRIES`` entries (N / 256 are expected, 39 at 10,000), so that
work on one leaf stays bounded even if a peer invents members.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterator, Mapping
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from random import Random
from socket import inet_aton
from sys import intern
from zlib import crc32

import msgspec

LEAVES = 256
MAX_LEAF_ENTRIES = 256
ENTRY_BYTES = 12
PLACE_BYTES = 6
DIGEST_VECTOR = struct.Struct(f"<{LEAVES}I")
MAX_INCARNATION = 2**45  # exclusive; incarnations start at milliseconds since the epoch, under 2**41
MAX_ROOT = 2**60
CACHE_ENTRIES = 16_384
MAX_STALE_DRAWS = 64  # stale places skipped in one draw


class State(IntEnum):
    """A member's state, as on the wire."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Entry(msgspec.Struct, frozen=True, gc=False):
    """One member's state; immutable.  ``place`` is its "ip:port" address, ``max_version`` the highest
    protocol version it is known to support, 1 if unknown; ``up`` means alive or suspect."""

    place: str
    incarnation: int
    state: State
    max_version: int
    up: bool
    leaf: int
    fingerprint: int  # 60 bits
    packed: bytes


@lru_cache(maxsize=CACHE_ENTRIES)
def pack_place(place: str) -> bytes | None:
    """The 6 bytes of "ip:port"; None unless it is an IPv4 address with a non-zero port."""
    host, _, port = place.partition(":")
    try:
        number = int(port)
        if not 0 < number < 2**16 or host.count(".") != 3:
            return None
        return inet_aton(host) + number.to_bytes(2, "big")
    except (OSError, ValueError):
        return None


@lru_cache(maxsize=CACHE_ENTRIES)
def unpack_place(packed: bytes) -> str:
    """The "ip:port" of 6 packed bytes; raises ValueError if the port is 0."""
    port = int.from_bytes(packed[4:], "big")
    if len(packed) != PLACE_BYTES or not port:
        raise ValueError("not an IPv4 address with a non-zero port")
    a, b, c, d = packed[:4]
    return intern(f"{a}.{b}.{c}.{d}:{port}")


def canonical(place: str) -> bool:
    """Whether ``place`` is the canonical spelling of its address."""
    packed = pack_place(place)
    return packed is not None and unpack_place(packed) == place


@lru_cache(maxsize=CACHE_ENTRIES)
def decode_entry(packed: bytes) -> Entry:
    """Decodes the 12 bytes of an entry; raises ValueError if they are invalid."""
    if len(packed) != ENTRY_BYTES:
        raise ValueError("wrong length of an entry: it must have 12 bytes")
    place = unpack_place(packed[:PLACE_BYTES])
    bits = int.from_bytes(packed[PLACE_BYTES:], "big")
    state = State(bits & 3)
    hashed = blake2b(packed[:PLACE_BYTES] + (bits >> 3).to_bytes(6, "big"), digest_size=8).digest()
    return Entry(
        place, bits >> 3, state, 2 if bits & 4 else 1, state in (State.ALIVE, State.SUSPECT),
        crc32(packed[:PLACE_BYTES]) & (LEAVES - 1), int.from_bytes(hashed, "big") >> 4, packed,
    )


@lru_cache(maxsize=CACHE_ENTRIES)
def make_entry(place: str, incarnation: int, state: State, max_version: int = 1) -> Entry:
    """Builds an entry; raises ValueError for an invalid place or an incarnation out of range."""
    packed = pack_place(place)
    if packed is None or not 0 <= incarnation < MAX_INCARNATION:
        raise ValueError(f"invalid member address or incarnation: {place} {incarnation}")
    bits = incarnation << 3 | (4 if max_version == 2 else 0) | state
    return decode_entry(packed + bits.to_bytes(6, "big"))


class RandomOrder:
    """Places in random order, drawn in O(1).  A dropped place stays in the list until a draw meets it, so
    that no index by place is needed."""

    __slots__ = ("_cursor", "_places", "_stale")

    def __init__(self) -> None:
        self._places: list[str] = []
        self._cursor = 0  # places before it were drawn in this round
        self._stale: set[str] = set()

    def __len__(self) -> int:
        return len(self._places) - len(self._stale)

    def add(self, place: str) -> None:
        if place in self._stale:
            self._stale.remove(place)
        else:
            self._places.append(place)

    def drop(self, place: str) -> None:
        """Removes a place; the list is rebuilt once mostly stale, so that a drop is amortised O(1)."""
        self._stale.add(place)
        if len(self._stale) > len(self._places) // 2 + MAX_STALE_DRAWS:
            before = sum(p not in self._stale for p in self._places[: self._cursor])
            self._places = [p for p in self._places if p not in self._stale]
            self._cursor = before
            self._stale.clear()

    def next(self, draw: Random) -> str | None:
        """A random place not yet drawn in this round (incremental Fisher-Yates); each comes once a round."""
        places = self._places
        for _ in range(MAX_STALE_DRAWS):
            if not places:
                break
            if self._cursor >= len(places):
                self._cursor = 0
            at = draw.randrange(self._cursor, len(places))
            places[at], places[self._cursor] = places[self._cursor], places[at]
            if self._valid(self._cursor):
                self._cursor += 1
                return places[self._cursor - 1]
        return None

    def sample(self, draw: Random, limit: int, skip: str = "") -> list[str]:
        """Up to ``limit`` distinct random places, without ``skip``."""
        if len(self._places) <= 4 * limit:
            known = [p for p in self._places if p not in self._stale and p != skip]
            return draw.sample(known, min(limit, len(known)))
        found: dict[str, None] = {}
        for _ in range(MAX_STALE_DRAWS + 2 * limit):
            if len(found) >= limit or not self._places:
                break
            at = draw.randrange(len(self._places))
            place = self._places[at]
            if self._valid(at) and place != skip:
                found[place] = None
        return list(found)

    def _valid(self, at: int) -> bool:
        """Whether the place at this index is current; a stale one is removed by swapping."""
        places = self._places
        if places[at] not in self._stale:
            return True
        self._stale.remove(places[at])
        if at < self._cursor:
            self._cursor -= 1
            places[at] = places[self._cursor]
            at = self._cursor
        places[at] = places[-1]
        places.pop()
        return False


class Table(Mapping[str, Entry]):
    """All members by place, including this one (``me``), which is in neither random order."""

    def __init__(self, me: Entry) -> None:
        self.me = me.place
        self.leaves: list[dict[str, Entry]] = [{} for _ in range(LEAVES)]
        self.digests = array("I", bytes(4 * LEAVES))
        self.root = 0
        self.up = RandomOrder()
        self.gone = RandomOrder()
        self._size = 0
        self._counts = [0] * len(State)  # by state, including this member
        self.put(me)

    def __getitem__(self, place: str) -> Entry:
        packed = pack_place(place)
        if packed is None:
            raise KeyError(place)
        return self.leaves[crc32(packed) & (LEAVES - 1)][place]

    def __iter__(self) -> Iterator[str]:
        for leaf in self.leaves:
            yield from leaf

    def __len__(self) -> int:
        return self._size

    @property
    def size(self) -> int:
        """The number of members that are up, including this one."""
        return 1 + len(self.up)

    def counts(self) -> dict[str, int]:
        """The number of other members in each state."""
        mine = self[self.me].state
        return {state.name.lower(): self._counts[state] - (state is mine) for state in State}

    def held(self, other: Entry) -> Entry | None:
        """The entry held for the member that ``other`` is about."""
        return self.leaves[other.leaf].get(other.place)

    def has_room(self, new: Entry) -> bool:
        """Whether the leaf of a new entry is not full."""
        return len(self.leaves[new.leaf]) < MAX_LEAF_ENTRIES

    def put(self, new: Entry) -> None:
        """Adds an entry, or replaces that of the same place."""
        leaf = self.leaves[new.leaf]
        old = leaf.get(new.place)
        leaf[new.place] = new
        self._size += old is None
        self._counts[new.state] += 1
        if old is not None:
            self._counts[old.state] -= 1
        was_up = old is not None and old.up
        if old is not None and was_up:
            self._toggle_digest(old)
        if new.up:
            self._toggle_digest(new)
        if new.place == self.me or (was_up is new.up and old is not None):
            return
        if old is not None:
            (self.up if was_up else self.gone).drop(old.place)
        (self.up if new.up else self.gone).add(new.place)

    def remove(self, old: Entry) -> None:
        """Removes an entry held; ``old`` must be the current one."""
        del self.leaves[old.leaf][old.place]
        self._size -= 1
        self._counts[old.state] -= 1
        if old.up:
            self._toggle_digest(old)
        (self.up if old.up else self.gone).drop(old.place)

    def _toggle_digest(self, one: Entry) -> None:
        self.root ^= one.fingerprint
        self.digests[one.leaf] ^= one.fingerprint & 0xFFFFFFFF

    # ------------------------------------------------------------ anti-entropy and pages

    def vector(self) -> bytes:
        """The digests of all leaves, packed."""
        return DIGEST_VECTOR.pack(*self.digests)

    def differing_leaves(self, vector: bytes) -> list[int]:
        """The leaves whose digests differ from those of a peer's digest vector."""
        theirs = DIGEST_VECTOR.unpack(vector)
        return [n for n, (a, b) in enumerate(zip(self.digests, theirs, strict=True)) if a != b]

    def page(self, leaf: int, min_entries: int) -> tuple[list[Entry], int | None]:
        """Entries of whole leaves from ``leaf`` on until there are ``min_entries``, and the next leaf if any.
        A page has fewer than ``min_entries + MAX_LEAF_ENTRIES`` entries."""
        found: list[Entry] = []
        while 0 <= leaf < LEAVES and len(found) < min_entries:
            found += self.leaves[leaf].values()
            leaf += 1
        return found, leaf if 0 <= leaf < LEAVES else None


class OtherMembers(Mapping[str, Entry]):
    """A read-only view of a table without this member."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def __getitem__(self, place: str) -> Entry:
        if place == self._table.me:
            raise KeyError(place)
        return self._table[place]

    def __iter__(self) -> Iterator[str]:
        return (place for place in self._table if place != self._table.me)

    def __len__(self) -> int:
        return len(self._table) - 1
