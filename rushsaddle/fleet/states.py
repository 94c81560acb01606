"""The states of all members as one member sees them: SWIM precedence, refutation and tombstones.  Pure.

A higher incarnation overrides a lower one; at the same incarnation suspect overrides alive, and dead or left
overrides both.  Updates change the table and are broadcast further; entries received by anti-entropy follow
``reconcile.merge_action`` and are not.  Dead and left members are kept as tombstones for ``forget_us``, so
that neither old updates nor a member that was partitioned brings them back.

Bounds, for N members: each update costs O(1), or O(log S) with S suspects; the table has at most
``max_members`` others including tombstones, of which the oldest makes room; ``MAX_EXPIRIES`` tombstones
expire in one tick.  Each member sends a broadcast TRANSMIT_MULTIPLIER * ceil(log10(N + 2)) times.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, KeysView
from dataclasses import dataclass
from math import ceil, log10
from typing import NamedTuple

from .broadcasts import BroadcastQueue
from .reconcile import MAX_VERIFIED_SUSPECTS, MAX_VERIFY_PINGS, ExchangeSchedule, MergeAction, merge_action
from .suspicion import CONFIRMATIONS, SuspicionTimers
from .table import MAX_INCARNATION, Entry, OtherMembers, State, Table, make_entry
from .wire import Stamp, Update, checksum

MAX_HEALTH_SCORE = 8  # stretches periods at most ninefold
TRANSMIT_MULTIPLIER = 4  # transmissions of a broadcast per decimal digit of the fleet's size
MAX_EXPIRIES = 64  # in one tick
MAX_AHEAD_MS = 86_400_000  # incarnations further ahead of the clock are ignored
MAX_FAULTS = 16  # not yet taken by the caller
FAULT_INTERVAL_US = 60_000_000  # between two faults with the same reason


@dataclass(slots=True, frozen=True)
class Rules:
    """Settings of the membership protocol; ``max_members`` includes tombstones."""

    period_us: int = 250_000
    suspect_us: int = 3_200_000  # least time from suspicion to death; survives a pause of 3 s
    forget_us: int = 86_400_000_000  # lifetime of a tombstone: outlasts partitions and old updates
    max_members: int = 10_000
    bytes_per_s: int = 6_000  # average send rate
    burst_bytes: int = 12_000


class Change(NamedTuple):
    """A change of a member's state; ``before`` is None for a new member."""

    place: str
    before: State | None
    after: State


class MemberStates:
    """What one member (``me``) knows of all members, itself included."""

    def __init__(self, me: str, first_incarnation: int, rules: Rules, now: int, max_version: int) -> None:
        self.table = Table(make_entry(me, first_incarnation, State.ALIVE, max_version))
        self.me = self.table.me
        self.incarnation = first_incarnation
        self.max_version = max_version
        self.rules = rules
        self.others = OtherMembers(self.table)
        self.stamps: dict[str, Stamp] = {}  # of the target lists that members hold, for those that are up
        self.changes: list[Change] = []  # to be logged and cleared by the caller
        self.faults: list[str] = []  # invalid updates received; to be logged and cleared, too
        self.health = 0  # local health score (Lifeguard): 0 is healthy
        self.broadcasts = BroadcastQueue()
        self.broadcasts.put(self.me, True)
        self.exchanges = ExchangeSchedule(rules.period_us, now)
        self._suspicions = SuspicionTimers(rules.suspect_us)
        self._tombstones: deque[tuple[int, Entry]] = deque()  # with their times; may be outdated
        self._fault_times: dict[str, int] = {}  # last time of each reason

    # ------------------------------------------------------------ queries

    def up(self) -> Iterator[Entry]:
        """The other members that are up."""
        return (known for known in self.others.values() if known.up)

    @property
    def size(self) -> int:
        """The number of members that are up, including this one."""
        return self.table.size

    def state_of(self, place: str) -> State | None:
        """The state of another member; None if it is unknown."""
        found = self.others.get(place)
        return None if found is None else found.state

    @property
    def _suspects(self) -> KeysView[str]:
        return self._suspicions.places

    @property
    def transmit_limit(self) -> int:
        """How often a broadcast is sent."""
        return TRANSMIT_MULTIPLIER * ceil(log10(self.size + 2))

    # ------------------------------------------------------------ updates

    def entry_of(self, update: Update, now: int) -> Entry | None:
        """The entry of an update; None, and a fault, if it is invalid."""
        try:
            return make_entry(update.place, update.incarnation, update.state, update.max_version)
        except ValueError:
            self.add_fault(now, "invalid address, or incarnation out of range", update.place)
            return None

    def _plausible(self, received: Entry, now: int) -> bool:
        """Rejects incarnations far ahead of the clock, which would override everything others report."""
        if received.incarnation <= max(now // 1000, self.incarnation) + MAX_AHEAD_MS:
            return True
        self.add_fault(now, "incarnation more than a day ahead", received.place)
        return False

    def add_fault(self, now: int, why: str, of: str) -> None:
        """Records invalid input, at most once per interval for each reason."""
        before = self._fault_times.get(why)
        if (before is None or now - before >= FAULT_INTERVAL_US) and len(self.faults) < MAX_FAULTS:
            self._fault_times[why] = now
            self.faults.append(f"{of}: {why}")

    def apply_update(self, update: Update, now: int) -> Entry | None:
        """Applies an update; returns the entry now held of that member."""
        received = self.entry_of(update, now)
        if received is None or not self._plausible(received, now):
            return None
        if received.place == self.me:
            self.refute(received)
            return None
        mine = self.table.held(received)
        if mine is None:
            if received.up and self._add(received, now, broadcast=True) and received.state is State.SUSPECT:
                self.accuse(self.table[received.place], received.incarnation, update.accuser, now)
        elif received.state is State.ALIVE:
            if merge_action(mine, received) is MergeAction.TAKE:
                self._take(mine, received, now, broadcast=True)
        elif received.state is State.SUSPECT:
            self.accuse(mine, received.incarnation, update.accuser, now, received.max_version)
        elif mine.up and received.incarnation >= mine.incarnation:
            self.set_state(mine, received.state, now, received.incarnation)
        return self.table.held(received)

    def _add(self, received: Entry, now: int, broadcast: bool) -> bool:
        """Adds an unknown member; the oldest tombstones make room for it.  Returns False if there is none."""
        for _ in range(MAX_EXPIRIES):
            if len(self.table) <= self.rules.max_members or not self._tombstones:
                break
            self._drop_oldest_tombstone()
        if len(self.table) > self.rules.max_members or not self.table.has_room(received):
            self.add_fault(now, "the table is full", received.place)
            return False
        alive = received.state is State.ALIVE
        self.table.put(
            received if alive
            else make_entry(received.place, received.incarnation, State.ALIVE, received.max_version)
        )
        self.exchanges.member_joined(self.size)
        self.changes.append(Change(received.place, None, State.ALIVE))
        if broadcast:
            self.broadcasts.put(received.place, False)
        return True

    def refute(self, received: Entry) -> bool:
        """Refutes a report that this member is suspect, dead or left, by a higher incarnation.  A higher
        incarnation in a report that it is alive is adopted: the clock was set back since then.  Returns
        whether the incarnation changed."""
        up = received.state is State.ALIVE
        if received.incarnation < self.incarnation or (up and received.incarnation == self.incarnation):
            return False
        if received.incarnation + 1 >= MAX_INCARNATION:
            return False
        self.incarnation = received.incarnation if up else received.incarnation + 1
        self.table.put(make_entry(self.me, self.incarnation, State.ALIVE, self.max_version))
        self.broadcasts.put(self.me, True)
        if not up:
            self.degrade_health()
        return True

    def accuse(self, mine: Entry, incarnation: int, accuser: int, now: int, max_version: int = 0,
               *, broadcast: bool = True) -> bool:
        """Adds an accuser to a member, which becomes suspect; returns whether the accusation counts."""
        if incarnation < mine.incarnation or not mine.up:
            return False
        if mine.state is State.ALIVE or incarnation > mine.incarnation:
            self.set_state(mine, State.SUSPECT, now, incarnation, max_version, broadcast=broadcast)
        if not self._suspicions.accuse(mine.place, accuser, self.size):
            return False
        if broadcast:
            self.broadcasts.put(mine.place, True)
        return True

    def set_state(
        self, mine: Entry, state: State, now: int, incarnation: int | None = None, max_version: int = 0,
        *, broadcast: bool = True, sent: int = 0,
    ) -> None:
        """Changes a member's state.  ``sent`` is the number of broadcasts deducted from the limit."""
        place, before = mine.place, mine.state
        new = make_entry(place, mine.incarnation if incarnation is None else incarnation, state,
                         max_version or mine.max_version)
        size_before = self.size
        self.table.put(new)
        if state is State.SUSPECT:
            self._suspicions.begin(place, now)
        elif state is not before or new.incarnation > mine.incarnation:
            self._suspicions.end(place)
        if not new.up:
            self._add_tombstone(new, now)
        elif not mine.up:
            self.exchanges.member_joined(self.size)
        if self.size != size_before and size_before <= CONFIRMATIONS + 2:
            self._suspicions.reschedule(self.size)
        if broadcast:
            self.broadcasts.put(place, state is not State.ALIVE or before is State.SUSPECT, sent)
        if state is not before:
            self.changes.append(Change(place, before, state))

    def _add_tombstone(self, gone: Entry, now: int) -> None:
        self.stamps.pop(gone.place, None)
        self._tombstones.append((now, gone))
        if len(self._tombstones) > 2 * self.rules.max_members:  # more than half are outdated
            self._drop_oldest_tombstone()

    # ------------------------------------------------------------ anti-entropy

    def merge(
        self, received: Iterable[Entry], now: int, max_pings: int = MAX_VERIFY_PINGS
    ) -> tuple[list[str], bool]:
        """Merges entries received by anti-entropy, which are not broadcast.  Returns the members that became
        suspect and are to be pinged, at most ``max_pings``, and whether anything changed."""
        to_ping: list[str] = []
        changed = False
        accuser = checksum(self.me)  # reports of one partition by many members count as one accusation
        for theirs in received:
            if not self._plausible(theirs, now):
                continue
            if theirs.place == self.me:
                changed |= self.refute(theirs)
                continue
            mine = self.table.held(theirs)
            match merge_action(mine, theirs):
                case MergeAction.ADD:
                    changed |= self._add(theirs, now, broadcast=False)
                case MergeAction.TAKE if mine is not None:
                    self._take(mine, theirs, now, broadcast=False)
                    changed = True
                case MergeAction.LEFT if mine is not None:
                    self.set_state(mine, State.LEFT, now, theirs.incarnation, broadcast=False)
                    changed = True
                case MergeAction.SUSPECT if mine is not None:
                    if len(to_ping) < max_pings and len(self._suspicions) < MAX_VERIFIED_SUSPECTS:
                        if self.accuse(mine, theirs.incarnation, accuser, now, broadcast=False):
                            to_ping.append(theirs.place)
                            changed = True
        return to_ping, changed

    def _take(self, mine: Entry, theirs: Entry, now: int, broadcast: bool) -> None:
        """Takes a higher incarnation that is up, or a higher protocol version."""
        if theirs.incarnation > mine.incarnation:
            self.set_state(
                mine, State.ALIVE, now, theirs.incarnation, theirs.max_version, broadcast=broadcast
            )
        else:
            self.table.put(make_entry(mine.place, mine.incarnation, mine.state, theirs.max_version))

    # ------------------------------------------------------------ tombstones

    def expire_tombstones(self, now: int) -> None:
        """Removes expired tombstones, a bounded number at a time."""
        for _ in range(MAX_EXPIRIES):
            if not self._tombstones or now < self._tombstones[0][0] + self.rules.forget_us:
                return
            self._drop_oldest_tombstone()

    def _drop_oldest_tombstone(self) -> bool:
        """Drops the oldest tombstone; returns False if it is outdated: the member came back or died again."""
        _, tombstone = self._tombstones.popleft()
        if self.table.held(tombstone) != tombstone:
            return False
        self.broadcasts.drop(tombstone.place)
        self.table.remove(tombstone)
        return True

    def degrade_health(self) -> None:
        """Raises the health score: this member may be slow or cut off itself."""
        self.health = min(MAX_HEALTH_SCORE, self.health + 1)
