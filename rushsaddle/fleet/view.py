"""The pages of the member list that a member serves to tools.  No I/O.

A request is ``/members/NUMBER``, with ``/LEAF`` for the page that begins at a leaf of the table, and with
``/COUNT`` after it for the page size.  Without a leaf up to ``MAX_PAGE_MEMBERS`` members are returned whole,
as before there were pages; beyond that, the first page.

Bound: a page has fewer members than its size and one leaf's entries together, whatever the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from .members import Members
from .table import LEAVES, Entry
from .wire import Stamp

MAX_PAGE_MEMBERS = 1024
MAX_DIGITS = 5


class PageRequest(NamedTuple):
    """The page that a request is for."""

    leaf: int = 0
    size: int = MAX_PAGE_MEMBERS


FIRST_PAGE = PageRequest()


def parse_page_request(words: list[str]) -> PageRequest | None:
    """Parses the path segments after the number of a request; None if they name no page."""
    if len(words) > 2 or not all(w.isascii() and w.isdigit() and len(w) <= MAX_DIGITS for w in words):
        return None
    leaf, size = [*map(int, words), *(0, MAX_PAGE_MEMBERS)[len(words) :]]
    return PageRequest(leaf, min(size, MAX_PAGE_MEMBERS)) if leaf < LEAVES and size else None


def stamp_fields(stamp: Stamp | None) -> tuple[Any, ...] | None:
    """A stamp as a tuple, for JSON."""
    return None if stamp is None else msgspec.structs.astuple(stamp)


def members_page(members: Members, request: PageRequest) -> dict[str, Any]:
    """The numbers of other members by state, and one page of them, sorted by place.  ``root`` is the digest
    of the members that are up, equal on all members with the same view."""
    found, following = members.table.page(request.leaf, request.size)
    others = sorted((e for e in found if e.place != members.me), key=lambda e: e.place)
    return {
        "counts": members.table.counts(), "root": f"{members.table.root:015x}", "next": following,
        "members": list(_rows(members, others)),
    }


def _rows(members: Members, entries: list[Entry]) -> Iterator[dict[str, Any]]:
    for entry in entries:
        yield {"place": entry.place, "state": entry.state.name.lower(), "incarnation": entry.incarnation,
               "speaks": entry.max_version, "list": stamp_fields(members.stamps.get(entry.place))}
