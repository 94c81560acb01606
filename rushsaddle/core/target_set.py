"""A list of next hops in discovery's format, kept current by its changes.  No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


class TargetSet:
    """``targets`` holds the entries by uid, without those that are gone; ``rev`` is the list's version."""

    def __init__(self) -> None:
        self.rev = 0
        self.targets: dict[str, Mapping[str, Any]] = {}

    def put(self, fields: Mapping[str, Any], whole: bool) -> None:
        """Apply a list, or the changes since the one before."""
        if whole:
            self.targets = {}
        for target in fields["targets"]:
            uid = str(target["uid"])
            if target["state"] == "gone":
                self.targets.pop(uid, None)
            else:
                self.targets[uid] = target
        self.rev = int(fields["rev"])

    def whole(self) -> dict[str, Any]:
        """The whole list, in the service's format."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}
