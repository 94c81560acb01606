"""Anti-entropy between two members: when to compare tables, what is answered, how entries are merged.

Every message of version 2 carries its sender's root digest.  A member that sees a different root in an answer
sends its digest vector (4 * 256 bytes), receives the leaves that differ, whole and with their tombstones, and
sends back the entries of these that the other lacks.  The exchange ends there: what is sent back marks no
leaf as whole.  Two members that can reach each other thus become equal after at most ceil(D / 91 / 8)
exchanges, where D is the number of entries in the leaves that differ; D <= N.

Bounds: an answer has up to ``MAX_REPLY_DATAGRAMS`` datagrams of 91 entries, what is sent back one for each of
them; both as the byte budget allows.  The budget is a token bucket: at most ``burst + rate * t`` bytes in t
seconds.  Pings, their answers and one update in each are always sent and are deducted from what follows.
One exchange is in flight at a time; a settled member starts at most one in ``CALM_PERIODS`` periods, and only
when its own root has not changed for as long.

Entries learnt by anti-entropy are not broadcast, as that would cause a broadcast storm at a cold start.
How a received entry is merged:

| held here | received as up | received as left | received as dead |
| --- | --- | --- | --- |
| not held | added | ignored: tombstones do not spread | ignored |
| up | the higher incarnation wins | left, if not older | suspected, if not older, and pinged |
| dead or left | up, if of a higher incarnation, else sent back | ignored | ignored |

After a network partition each side holds the other dead: suspicion lets every live member refute, and brings
no dead one back.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from random import Random
from typing import NamedTuple

from .table import ENTRY_BYTES, LEAVES, Entry, State, Table
from .wire import ENTRIES_CAPACITY_BYTES, MAX_ENTRIES, MAX_MESSAGE_BYTES

MAX_REPLY_DATAGRAMS = 8  # in one answer
REPLY_TIMEOUT_US = 1_000_000  # for the answer to a digest vector
CALM_PERIODS = 4  # least time between two exchanges of a settled member
SETTLED_MATCHES = 4  # equal roots in a row after which this member counts as settled
MAX_JOINED_SETTLED = 32  # more joins, or more than an eighth of the members, end the settled state
BACKOFF_US = 8_000_000  # no exchange with a member that differs without cause; doubled each time
MAX_BACKOFF_US = 3_600_000_000
MAX_BACKOFFS = 64  # members backed off from
MAX_VERIFY_PINGS = 16  # members suspected and pinged because of one datagram
MAX_VERIFIED_SUSPECTS = 64  # suspects; beyond that, received dead entries create no more
ALL_MATCHES = 8  # equal roots in a row after which all members are taken to be equal
MAX_ENTRIES_READ = 1024  # to find the entries to send back


class MergeAction(Enum):
    """What to do with a received entry."""

    NOTHING = auto()
    ADD = auto()
    TAKE = auto()  # a higher incarnation, or a higher protocol version
    LEFT = auto()
    SUSPECT = auto()
    SEND_BACK = auto()  # theirs is outdated


def merge_action(mine: Entry | None, theirs: Entry) -> MergeAction:
    """What to do with ``theirs``, given the entry held here; see the table above."""
    if mine is None:
        return MergeAction.ADD if theirs.up else MergeAction.NOTHING
    if mine.up and theirs.up:
        newer_version = theirs.incarnation == mine.incarnation and theirs.max_version > mine.max_version
        return (
            MergeAction.TAKE if theirs.incarnation > mine.incarnation or newer_version
            else MergeAction.NOTHING
        )
    if mine.up:
        if theirs.incarnation < mine.incarnation:
            return MergeAction.SEND_BACK
        return MergeAction.LEFT if theirs.state is State.LEFT else MergeAction.SUSPECT
    if theirs.up:
        return MergeAction.TAKE if theirs.incarnation > mine.incarnation else MergeAction.SEND_BACK
    return MergeAction.NOTHING


class ReplyPart(NamedTuple):
    """The content of one ENTRIES datagram; ``leaves`` are those it holds whole."""

    leaves: bytes
    entries: tuple[Entry, ...]


def reply_parts(table: Table, vector: bytes, draw: Random, limit: int) -> list[ReplyPart]:
    """The leaves that differ from a digest vector, from a random one on, in up to ``limit`` datagrams.  There
    is at least one, possibly empty, so that the sender learns that nothing differs."""
    differ = table.differing_leaves(vector)
    first = draw.randrange(len(differ)) if differ else 0
    parts: list[ReplyPart] = []
    leaves, entries = bytearray(), list[Entry]()
    for leaf in (*differ[first:], *differ[:first]):
        held = table.leaves[leaf].values()
        if len(held) > MAX_ENTRIES - 1:  # too large for one datagram: a sample, not marked whole
            if len(parts) < limit:
                parts.append(ReplyPart(b"", tuple(draw.sample(list(held), MAX_ENTRIES))))
            continue
        used = len(leaves) + ENTRY_BYTES * len(entries)
        if used + 1 + ENTRY_BYTES * len(held) > ENTRIES_CAPACITY_BYTES or len(leaves) == LEAVES - 1:
            parts.append(ReplyPart(bytes(leaves), tuple(entries)))
            leaves, entries = bytearray(), []
        if len(parts) >= limit:
            return parts[:limit]
        leaves.append(leaf)
        entries += held
    if leaves or not parts:
        parts.append(ReplyPart(bytes(leaves), tuple(entries)))
    return parts[:limit]


def newer_entries(
    table: Table, leaves: bytes, received: Iterable[Entry], limit: int = MAX_ENTRIES
) -> tuple[Entry, ...]:
    """Entries held here that are newer than the received ones, or missing in the leaves received whole."""
    theirs = {entry.place: entry for entry in received}
    found: list[Entry] = []
    for entry in theirs.values():
        mine = table.held(entry)
        if mine is not None and _is_newer(mine, entry):
            found.append(mine)
    read = 0
    for leaf in dict.fromkeys(leaves):
        if len(found) >= limit or read > MAX_ENTRIES_READ:
            break
        held = table.leaves[leaf].values()
        read += len(held)
        found += [entry for entry in held if entry.up and entry.place not in theirs]
    return tuple(found[:limit])


def _is_newer(mine: Entry, theirs: Entry) -> bool:
    """An entry that is up wins over a dead or left one only by a higher incarnation."""
    if mine.up == theirs.up:
        return mine.up and mine.incarnation > theirs.incarnation
    higher = mine.incarnation > theirs.incarnation
    return higher or (not mine.up and mine.incarnation == theirs.incarnation)


class Budget:
    """A token bucket of bytes, refilled at ``rate`` bytes per second up to ``burst`` bytes."""

    __slots__ = ("_level", "_refilled_us", "burst", "rate")

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self.rate = rate
        self.burst = burst
        self._level = float(burst)
        self._refilled_us = now

    def refill(self, now: int) -> None:
        """Adds the bytes of the time since the last call."""
        if now > self._refilled_us:
            self._level = min(self.burst, self._level + self.rate * (now - self._refilled_us) / 1e6)
            self._refilled_us = now

    def spend(self, size: int) -> None:
        """Deducts bytes, also into debt up to one burst: mandatory messages are always sent."""
        self._level = max(-self.burst, self._level - size)

    @property
    def available(self) -> int:
        """Bytes that may be spent now."""
        return max(0, int(self._level))

    @property
    def datagrams(self) -> int:
        """Full datagrams that may be sent now."""
        return self.available // MAX_MESSAGE_BYTES


class ExchangeSchedule:
    """When to start an exchange, and with which members not."""

    __slots__ = (
        "_backoffs", "_changed_us", "_matches", "_partner", "_root", "_start_root", "_started_us", "joined",
        "period_us", "settled",
    )

    def __init__(self, period_us: int, now: int) -> None:
        self.period_us = period_us
        self.settled = False  # roots have matched, and few members joined since
        self.joined = 0  # members that joined since then, or since the last exchange began
        self._matches = 0  # equal roots in a row
        self._partner: str | None = None  # of the exchange in flight
        self._started_us = now - CALM_PERIODS * period_us
        self._start_root = 0  # our root when the exchange began
        self._root = 0
        self._changed_us = now
        self._backoffs: dict[str, tuple[int, int]] = {}  # by place: end, duration

    def set_root(self, now: int, root: int) -> None:
        """Records this member's current root."""
        if root != self._root:
            self._root, self._changed_us = root, now

    def member_joined(self, size: int) -> None:
        """A member joined or came back; ``size`` members are up now."""
        self.joined += 1
        if self.joined > min(MAX_JOINED_SETTLED, size // 8):
            self.settled = False

    def root_differs(self) -> None:
        """Another member's root differs from ours."""
        self._matches = 0

    def root_matches(self, place: str) -> bool:
        """A member's root equals ours.  Returns whether the roots of all members presumably do."""
        self.joined = 0
        self._matches += 1
        self.settled = self.settled or self._matches >= SETTLED_MATCHES
        self._backoffs.pop(place, None)
        if self._partner == place:
            self._partner = None
        return self._matches >= ALL_MATCHES

    def start(self, now: int, place: str) -> bool:
        """Whether to start an exchange with a member whose root differs; if so, it is in flight."""
        since = now - self._started_us
        if self._partner is not None and since < REPLY_TIMEOUT_US:
            return False
        if self.settled:
            calm = CALM_PERIODS * self.period_us
            if since < calm or now - self._changed_us < calm:
                return False
        elif since < self.period_us // 2:  # answers to pings come once a period, with some jitter
            return False
        if now < self._backoffs.get(place, (0, 0))[0]:
            return False
        self._partner, self._started_us, self._start_root = place, now, self._root
        self.joined = 0
        return True

    def finish(self, now: int, place: str, same: bool, changed: bool) -> str | None:
        """A member has sent entries.  ``same``: its root now equals ours; ``changed``: an entry changed on
        either side.  Returns a fault if the roots differ without cause for the second time; the first may be
        a race."""
        if self._partner != place:
            if changed:
                self._backoffs.pop(place, None)
            return None
        self._partner = None
        if same or changed or self._root != self._start_root:
            self._backoffs.pop(place, None)
            return None
        before = self._backoffs.pop(place, None)
        if before is None and len(self._backoffs) >= MAX_BACKOFFS:
            del self._backoffs[next(iter(self._backoffs))]
        wait = BACKOFF_US if before is None else min(MAX_BACKOFF_US, 2 * before[1])
        self._backoffs[place] = now + wait, wait
        return (
            None if before is None or before[1] > BACKOFF_US
            else "its root digest differs, its entries do not"
        )
