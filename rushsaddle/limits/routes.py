"""Route lookup by longest path prefix over percent-decoded segments; the cost depends on the depth alone."""

from __future__ import annotations

import re
from typing import Generic, TypeVar
from urllib.parse import unquote_to_bytes

T = TypeVar("T")

# A server may resolve these to another path than the literal one: encoded slash or backslash, dot segments in
# any encoding, NUL, an empty segment.
AMBIGUOUS = re.compile(rb"%2f|%5c|\\|%00|\x00|//|/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)


class AmbiguousPath(ValueError):
    """A path that servers may resolve in different ways."""


class TrieNode(Generic[T]):
    """One path segment; ``value`` is set where a route ends."""

    __slots__ = ("children", "value")

    def __init__(self) -> None:
        self.children: dict[bytes, TrieNode[T]] = {}
        self.value: T | None = None


def split_path(path: bytes) -> list[bytes]:
    """The decoded segments of a path; raises AmbiguousPath."""
    if AMBIGUOUS.search(path):
        raise AmbiguousPath("a path that can be read in two ways")
    return [unquote_to_bytes(segment) for segment in path.strip(b"/").split(b"/")]


class RouteTrie(Generic[T]):
    """Values by path prefix, in a trie of path segments."""

    def __init__(self) -> None:
        self._root: TrieNode[T] = TrieNode()
        self.depth = 0

    def add(self, path: bytes, value: T) -> bool:
        """Add a route; False if it exists already.  Raises AmbiguousPath."""
        node = self._root
        segments = split_path(path)
        for segment in segments:
            node = node.children.setdefault(segment, TrieNode())
        if node.value is not None:
            return False
        node.value = value
        self.depth = max(self.depth, len(segments))
        return True

    def find(self, path: bytes) -> T | None:
        """The value of the longest route that is a prefix of the path, segment by segment.

        Raises AmbiguousPath if there are routes below the first segment and the path is ambiguous.
        """
        node, best = self._root, None
        for index, segment in enumerate(path[1:].split(b"/", self.depth)[: self.depth]):
            found = node.children.get(segment)
            if found is None and b"%" in segment:
                found = node.children.get(unquote_to_bytes(segment))
            if index == 0 and found is not None and found.children and AMBIGUOUS.search(path):
                raise AmbiguousPath("a path that can be read in two ways")
            if found is None:
                break
            node = found
            if node.value is not None:
                best = node.value
        return best
