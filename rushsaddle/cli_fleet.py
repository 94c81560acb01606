"""``rushsaddle fleet``: the members as known to one of them."""

from __future__ import annotations

import secrets
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import click
import msgspec
import orjson

from .cli_jobs import JobsError, RunningNode, fail
from .fleet.wire import mac, verified

LEAVES = 256  # each page begins at a leaf of the member's table, so this also limits the number of pages
MAX_LINES = 200  # with more members only those that are not alive are listed, unless --all is given


class _Other(msgspec.Struct):
    """One member in a response; only the fields that the command needs."""

    place: str
    state: str
    list: tuple[str, int, int] | None = None


class _Page(msgspec.Struct):
    """A response; members without paging send neither ``next`` nor the fields after it."""

    me: str | None
    members: tuple[_Other, ...]
    next: Annotated[int, msgspec.Meta(ge=0, lt=LEAVES)] | None = None
    target: str | None = None
    counts: dict[str, int] = {}
    list: tuple[str, int, int] | None = None


def _page(place: str, key: bytes, rest: str) -> tuple[_Page, dict[str, Any]]:
    """One page, validated, and its complete JSON; raises JobsError."""
    target = f"/members/{secrets.randbelow(10**18)}{rest}"
    status, _, data = RunningNode(place).call("GET", target, {"X-Seal": mac(key, target.encode()).hex()})
    if status == 403:
        raise JobsError(f"{place}: it has another key")
    body = verified(key, data)
    if status != 200 or body is None:
        raise JobsError(f"{place}: status {status}, not a member's answer")
    try:
        page = msgspec.json.decode(body, type=_Page)
        reply: dict[str, Any] = orjson.loads(body)
    except (msgspec.DecodeError, orjson.JSONDecodeError, RecursionError) as error:
        raise JobsError(f"{place}: not a member's answer: {error}") from None
    if page.target not in (None, target):
        raise JobsError(f"{place}: the answer to another call")
    return page, reply


def members_of(place: str, key: bytes, page_size: int = 0) -> dict[str, Any]:
    """What a member reports of itself and the others, all pages merged; raises JobsError.

    ``page_size`` is the requested number of members per page; 0 leaves it to the member.  Fields other than
    ``members`` are those of the last page.  Changes between pages can make the result inconsistent.
    """
    size = f"/{page_size}" if page_size else ""
    page, reply = _page(place, key, f"/0{size}" if page_size else "")
    me, leaf, members = page.me, 0, reply["members"]
    while page.next is not None:
        if page.next <= leaf:
            raise JobsError(f"{place}: a page that repeats")
        leaf = page.next
        page, reply = _page(place, key, f"/{leaf}{size}")
        if page.me != me:
            raise JobsError(f"{place}: another member answers")
        members += reply["members"]
    if len({m["place"] for m in members}) != len(members):
        raise JobsError(f"{place}: a member that is told twice")
    del reply["members"]
    return {**reply, "members": sorted(members, key=lambda m: m["place"])}


@click.group()
def fleet() -> None:
    """Membership of the fleet of nodes.

    Example: rushsaddle fleet members --member 127.0.0.1:7400 --key-file deploy/fleet.key
    """


@fleet.command()
@click.option("--member", metavar="HOST:PORT", required=True, help="Its fleet.listen address.")
@click.option("--key-file", type=click.Path(), required=True, help="File with the fleet's key.")
@click.option("--page", type=click.IntRange(0), default=0, help="Members per page; 0: the member's choice.")
@click.option("--all", "show_all", is_flag=True, help=f"List all, even beyond {MAX_LINES}.")
@click.option("--json", "as_json", is_flag=True, help="Complete JSON output.")
def members(member: str, key_file: str, page: int, show_all: bool, as_json: bool) -> None:
    """List every member that one of them knows, its state, and the list that it holds.

    Counts by state come first.  Beyond 200 members only those that are not alive are listed, unless --all is
    given.

    Example: rushsaddle fleet members --member 127.0.0.1:7400 --key-file deploy/fleet.key --json
    """
    try:
        reply = members_of(member, Path(key_file).read_bytes().strip(), page)
    except (JobsError, OSError) as error:
        fail(error, 1)
        return
    if as_json:
        click.echo(orjson.dumps(reply))
        return

    def version(held: list[Any] | None) -> str:
        return "no list" if held is None else f"list {held[1]}.{held[2]} of {held[0]}"

    others = reply["members"]
    counts = reply.get("counts") or Counter(other["state"] for other in others)
    by_state = ", ".join(f"{count} {state}" for state, count in counts.items() if count) or "none"
    click.echo(f"others: {by_state}")
    click.echo(f"{reply['me']} itself, {version(reply.get('list'))}, health {reply.get('health')}")
    for other in others:
        if show_all or len(others) <= MAX_LINES or other["state"] != "alive":
            click.echo(f"{other['place']} {other['state']}, {version(other.get('list'))}")
