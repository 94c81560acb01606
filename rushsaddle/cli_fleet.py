"""Commands on a fleet: what one member knows of the others."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import click
import orjson

from .cli_jobs import JobsError, Running, fail
from .fleet.wire import opened, tag


def members_of(place: str, key: bytes) -> dict[str, Any]:
    """What a member says of itself and the others; raises JobsError."""
    target = f"/members/{secrets.randbelow(10**18)}"
    status, _, data = Running(place).call("GET", target, {"X-Seal": tag(key, target.encode()).hex()})
    if status == 403:
        raise JobsError(f"{place}: it has another key")
    body = opened(key, data)
    if status != 200 or body is None:
        raise JobsError(f"{place}: status {status}, not a member's answer")
    told: dict[str, Any] = orjson.loads(body)
    return told


@click.group()
def fleet() -> None:
    """The nodes that know of each other.

    Example: rushsaddle fleet members --member 127.0.0.1:7400 --key-file deploy/fleet.key
    """


@fleet.command()
@click.option("--member", metavar="HOST:PORT", required=True, help="Its fleet.listen.")
@click.option("--key-file", type=click.Path(), required=True, help="The fleet's key.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def members(member: str, key_file: str, as_json: bool) -> None:
    """Every member that one of them knows, its state, and the list that it holds.

    Example: rushsaddle fleet members --member 127.0.0.1:7400 --key-file deploy/fleet.key --json
    """
    try:
        told = members_of(member, Path(key_file).read_bytes().strip())
    except (JobsError, OSError) as error:
        fail(error, 1)
        return
    if as_json:
        click.echo(orjson.dumps(told))
        return

    def version(held: list[Any] | None) -> str:
        return "no list" if held is None else f"list {held[1]}.{held[2]} of {held[0]}"

    click.echo(f"{told['me']} itself, {version(told.get('list'))}, health {told.get('health')}")
    for other in told["members"]:
        click.echo(f"{other['place']} {other['state']}, {version(other['list'])}")
