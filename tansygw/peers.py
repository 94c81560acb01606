"""Load messages between the dispatchers of a group: the slots that each uses at each worker.

No I/O and no clock.  A message is text of at most ``MAX_MESSAGE_BYTES`` characters from an alphabet of 64,
each of them one byte in UTF-8.  It carries state, not changes, so that the next message makes up for a lost
one.  A malformed, duplicate or outdated message, or one of another version or from an unknown sender, is
ignored.  Fields and their lengths in characters:

    version 1 | stamp 3 | wide 2 | first key 3 | last key 3 | (key 3 | slots 1 | waiting 1) ...

A worker's key is 18 bits of a checksum of its name.  The message covers all workers with keys from the first
to the last key: the sender uses no slots at those that it does not list.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

MAX_MESSAGE_BYTES = 256  # the platform's limit on a peer message
VERSION = "1"
DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
VALUES = {digit: n for n, digit in enumerate(DIGITS)}
HEADER_SIZE = 12  # characters
ENTRY_SIZE = 5  # characters
MAX_ENTRIES = (MAX_MESSAGE_BYTES - HEADER_SIZE) // ENTRY_SIZE
KEY_SPACE = 64**3
STAMP_US = 1000  # a stamp counts milliseconds and wraps around every 262 s
WIDE_UNITS = 16  # per slot: the resolution of the load of wide requests

Loads = dict[int, tuple[int, int]]  # by key: slots used, and how many of them by queued requests


def worker_key(name: str) -> int:
    """Return the key of a worker in load messages, from a checksum of its name."""
    return crc32(name.encode()) % KEY_SPACE


def _text(value: int, size: int) -> str:
    value = min(max(value, 0), 64**size - 1)
    return "".join(DIGITS[value >> 6 * n & 63] for n in range(size - 1, -1, -1))


def _value(text: str) -> int | None:
    value = 0
    for digit in text:
        found = VALUES.get(digit)
        if found is None:
            return None
        value = value << 6 | found
    return value


@dataclass(slots=True, frozen=True)
class LoadMessage:
    """A decoded load message."""

    stamp: int
    wide_slots: float  # slots that the sender's wide requests keep busy
    first: int
    last: int
    loads: Loads


def encode(now_us: int, wide_slots: float, loads: Loads) -> list[str]:
    """Encode a state into one message, or several where it has too many workers for one."""
    keys = sorted(key for key, (slots, _) in loads.items() if slots > 0)
    parts = [keys[n:n + MAX_ENTRIES] for n in range(0, len(keys), MAX_ENTRIES)] or [[]]
    stamp, messages, first = now_us // STAMP_US % KEY_SPACE, [], 0
    for n, part in enumerate(parts):
        last = parts[n + 1][0] - 1 if n + 1 < len(parts) else KEY_SPACE - 1
        fields = ((stamp, 3), (round(wide_slots * WIDE_UNITS), 2), (first, 3), (last, 3))
        head = VERSION + "".join(_text(value, size) for value, size in fields)
        entries = (_text(key, 3) + _text(loads[key][0], 1) + _text(loads[key][1], 1) for key in part)
        messages.append(head + "".join(entries))
        first = last + 1
    return messages


def decode(text: str) -> LoadMessage | None:
    """Decode a message; return None where it is malformed or of another version."""
    size = len(text) - HEADER_SIZE
    if not (0 <= size <= MAX_ENTRIES * ENTRY_SIZE) or size % ENTRY_SIZE or text[0] != VERSION:
        return None
    if _value(text) is None:
        return None
    stamp, wide_slots, first, last = (_value(text[a:b]) or 0 for a, b in ((1, 4), (4, 6), (6, 9), (9, 12)))
    loads: Loads = {}
    previous_key = first - 1
    for at in range(HEADER_SIZE, len(text), ENTRY_SIZE):
        key = _value(text[at:at + 3]) or 0
        slots, waiting = VALUES[text[at + 3]], VALUES[text[at + 4]]
        if not previous_key < key <= last or waiting > slots:
            return None
        loads[key] = slots, waiting
        previous_key = key
    return LoadMessage(stamp, wide_slots / WIDE_UNITS, first, last, loads) if first <= last else None


class PeerState:
    """The newest state of one other dispatcher."""

    __slots__ = ("loads", "received_us", "stamp", "wide_slots")

    def __init__(self) -> None:
        self.received_us = 0
        self.stamp = 0
        self.wide_slots = 0.0
        self.loads: Loads = {}


class PeerLoads:
    """The newest states of all other dispatchers of the group, and their sums by worker."""

    def __init__(self, group_size: int, rank: int) -> None:
        self.group_size = group_size
        self.rank = rank
        self.peers: dict[int, PeerState] = {}
        self.sums: Loads = {}
        self.wide_slots = 0.0
        self.last_sent: Loads = {}
        self.last_sent_us = self.next_broadcast_us = 0

    def outgoing_messages(
        self, now: int, wide_slots: float, loads: Loads, heartbeat_us: float, tick_us: int, spacing_us: float
    ) -> list[str]:
        """Return the messages to send now; none while nothing has changed within the heartbeat interval.

        ``spacing_us`` is the interval between messages of full length, for each receiver; shorter messages
        may follow each other sooner, but not within ``tick_us``.
        """
        if loads == self.last_sent and now < self.last_sent_us + heartbeat_us:
            return []
        messages = encode(now, wide_slots, loads)
        size = sum(map(len, messages)) * (self.group_size - 1) / MAX_MESSAGE_BYTES
        self.next_broadcast_us = now + int(max(tick_us, size * spacing_us))
        self.last_sent, self.last_sent_us = loads, now
        return messages

    def receive(self, now: int, sender: int, text: str) -> bool:
        """Apply a received message; return False where it is ignored."""
        if not 0 <= sender < self.group_size or sender == self.rank:
            return False
        message = decode(text)
        if message is None:
            return False
        peer = self.peers.get(sender)
        if peer is None:
            peer = self.peers[sender] = PeerState()
        elif (message.stamp - peer.stamp) % KEY_SPACE >= KEY_SPACE // 2 or (
            message.stamp == peer.stamp and any(message.first <= key <= message.last for key in peer.loads)
        ):
            return False  # outdated or a duplicate
        peer.received_us, peer.stamp = now, message.stamp
        self.wide_slots += message.wide_slots - peer.wide_slots
        peer.wide_slots = message.wide_slots
        for key in [k for k in peer.loads if message.first <= k <= message.last]:
            self._add(key, peer.loads.pop(key), -1)
        for key, load in message.loads.items():
            peer.loads[key] = load
            self._add(key, load, 1)
        return True

    def load_at(self, key: int) -> tuple[int, int]:
        """Return the slots that the peers use at a worker, and how many of them are for queued requests."""
        return self.sums.get(key, (0, 0))

    def _add(self, key: int, load: tuple[int, int], sign: int) -> None:
        slots, waiting = self.load_at(key)
        slots, waiting = slots + sign * load[0], waiting + sign * load[1]
        if slots > 0:
            self.sums[key] = slots, waiting
        else:
            self.sums.pop(key, None)

    def expire(self, oldest_us: int) -> None:
        """Drop the peers whose newest message arrived before this time."""
        for sender in [s for s, peer in self.peers.items() if peer.received_us < oldest_us]:
            peer = self.peers.pop(sender)
            self.wide_slots -= peer.wide_slots
            for key, load in peer.loads.items():
                self._add(key, load, -1)

    @property
    def known_share(self) -> float:
        """The share of the peers whose state is known."""
        return len(self.peers) / (self.group_size - 1) if self.group_size > 1 else 0.0
