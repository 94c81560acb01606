"""The list that the older process follows, as it is sent to the newer one in parts.  No I/O.

The newer process starts by the list of its configuration, which may lack changes that were told since.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import orjson

from ..core.target_set import TargetSet
from .messages import MAX_TARGETS_BYTES, ListPart


def split(service: str, fields: Mapping[str, Any], whole: bool) -> Iterator[ListPart]:
    """The messages for a list or its changes; an entry that does not fit in a message is left out."""
    version = int(fields["rev"])
    part: list[Any] = []
    size = 0
    for target in fields["targets"]:
        try:
            length = len(orjson.dumps(target)) + 1
        except orjson.JSONEncodeError:  # a number of the configuration beyond 64 bits
            continue
        if length > MAX_TARGETS_BYTES:
            continue
        if size + length > MAX_TARGETS_BYTES:
            yield ListPart(service, version, whole, False, part)
            part, size = [], 0
        part.append(target)
        size += length
    yield ListPart(service, version, whole, True, part)


class ReceivedList:
    """Reassembles the list of the older process."""

    def __init__(self) -> None:
        self._list = TargetSet()
        self._part: list[Any] = []

    def add(self, part: ListPart) -> dict[str, Any] | None:
        """The whole list once a list or its changes are complete, else None."""
        self._part += part.targets
        if not part.last:
            return None
        targets, self._part = self._part, []
        self._list.put({"rev": part.version, "targets": targets}, part.whole)
        return self._list.whole()
