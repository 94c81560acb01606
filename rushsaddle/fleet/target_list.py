"""The target list as one node holds it, and whether another member's is newer.  No I/O, no clock.

Only lists of the discovery service that this node is configured with count: a list of another service, be it
a replaced one that is still up or one not configured here yet, is foreign and changes nothing.  Lists of one
service are ordered by the service's life (``era``, higher after each restart that lost its versions), then by
version.  A new life is detected in two ways: the service sends a whole list of a lower version, or its open
watch has lagged behind the lists of other members for longer than any change takes to arrive.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..core.target_set import TargetSet
from .wire import Stamp

MAX_PROPAGATION_US = 4_000_000  # for a change to reach an open watch, whose empty lines come every 2 s


class TargetList(TargetSet):
    """One node's target list, and of which service and life it is."""

    def __init__(self, service: str) -> None:
        super().__init__()
        self.service = service
        self.era = 0
        self.loaded = False  # there is a list of this service
        self.direct = False  # kept up to date by an open watch
        self._call_stamp = (0, 0)  # era and version when the current call began
        self._lag: tuple[int, int] | None = None  # since when others hold a higher version, and which

    @property
    def stamp(self) -> Stamp | None:
        """What identifies the list held; None without one."""
        return Stamp(self.service, self.era, self.rev) if self.loaded else None

    def on_saved(self, fields: Mapping[str, Any]) -> None:
        """Loads the list known before this start; an empty list of version 0 means that there was none."""
        self.put(fields, whole=True)
        self.loaded = bool(self.targets) or self.rev > 0

    def on_call(self) -> None:
        """A call to the service begins."""
        self._call_stamp = (self.era, self.rev)

    def on_list(self, fields: Mapping[str, Any], whole: bool) -> bool:
        """Applies a list or a change from the service itself.  Returns False if it is older than a list that
        a member passed on during the call: the answer may have been overtaken, and the service is to be
        called again."""
        if whole and self.loaded and int(fields["rev"]) < self.rev:
            if self._call_stamp != (self.era, self.rev):
                return False
            self.era += 1
        if whole or self.loaded:
            self.put(fields, whole)
            self.loaded = True
        self._call_stamp = (self.era, self.rev)
        self.direct = True
        if self._lag is not None and self.rev >= self._lag[1]:
            self._lag = None
        return True

    def on_disconnect(self) -> None:
        """The watch has ended."""
        self.direct = False
        self._lag = None

    def on_service_change(self, service: str) -> None:
        """Switches to another service.  The old service's list stays in use, but is no longer passed on."""
        if service != self.service:
            self.service = service
            self.era = 0
            self.loaded = False
            self.on_disconnect()

    def should_fetch(self, now: int, theirs: Stamp | None) -> bool:
        """Whether a member's list should be fetched.  Also detects a new life of the service."""
        if theirs is None or theirs.service != self.service:
            return False
        mine = self.stamp
        if mine is not None and not theirs.newer(mine):
            return False
        if not self.direct:
            return True
        if theirs.rev <= self.rev:  # both follow the service; only their counts of its lives differ
            self.era = theirs.era
            self._lag = None
        elif self._lag is None:
            self._lag = now, theirs.rev
        elif now - self._lag[0] > MAX_PROPAGATION_US and theirs.rev >= self._lag[1]:
            self.era = theirs.era + 1
            self._lag = None
        return False

    def accept(self, now: int, theirs: Stamp, fields: Mapping[str, Any]) -> bool:
        """Applies a list that a member passed on; returns False if it is not newer any more."""
        if not self.should_fetch(now, theirs) or int(fields["rev"]) != theirs.rev:
            return False
        self.put(fields, whole=True)
        self.era, self.loaded = theirs.era, True
        return True
