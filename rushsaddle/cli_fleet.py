"""Commands on a fleet: what one member knows of the others."""

from __future__ import annotations

import http.client
import secrets
import sys
from pathlib import Path
from typing import Any

import click
import orjson

from .core.names import address
from .fleet.wire import opened, tag

WAIT_S = 3.0


class FleetError(Exception):
    """Why a member could not be asked, in one line."""


def members_of(place: str, key: bytes) -> dict[str, Any]:
    """What a member says of itself and the others; raises FleetError."""
    try:
        host, port = address(place)
        connection = http.client.HTTPConnection(host, port, timeout=WAIT_S)
        target = f"/members/{secrets.randbelow(10**18)}"
        connection.request("GET", target, headers={"X-Seal": tag(key, target.encode()).hex()})
        answer = connection.getresponse()
        data = answer.read()
        connection.close()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise FleetError(f"{place}: {error}") from None
    if answer.status == 403:
        raise FleetError(f"{place}: it has another key")
    body = opened(key, data)
    if answer.status != 200 or body is None:
        raise FleetError(f"{place}: status {answer.status}, not a member's answer")
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
    except (FleetError, OSError) as error:
        print(f"rushsaddle: {error}", file=sys.stderr)
        sys.exit(1)
    if as_json:
        click.echo(orjson.dumps(told))
        return

    def version(held: list[Any] | None) -> str:
        return "no list" if held is None else f"list {held[1]}.{held[2]} of {held[0]}"

    click.echo(f"{told['me']} itself, {version(told.get('list'))}, health {told.get('health')}")
    for other in told["members"]:
        click.echo(f"{other['place']} {other['state']}, {version(other['list'])}")
