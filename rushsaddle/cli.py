"""Command line interface.  ``python -m rushsaddle`` without a command serves without importing it."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click

from tansygw.interface import Settings

from .cli_fleet import fleet
from .cli_jobs import JobsError, RunningNode, fail, jobs
from .operator.explain import check_file
from .operator.load import (
    FILE_VARIABLE,
    PREFIX,
    SET_VARIABLE,
    OperatorError,
    Source,
    is_configured,
    read_with_source,
)
from .operator.records import Operator, plain_keys

F = TypeVar("F", bound=Callable[..., Any])


def settings_options(function: F) -> F:
    """Decorator that adds a flag for each key of the operator's file; the help names its variable."""
    for section, key in reversed(list(plain_keys())):
        flag = f"--{section}-{key.replace('_', '-').replace('--', '-')}"
        variable = f"{PREFIX}{section}__{key}".upper()
        function = click.option(
            flag, f"{section}__{key}", metavar="VALUE",
            help=f"{section}.{key.replace('__', '.')} of the file; also {variable}.",
        )(function)
    function = click.option(
        "--set", "assignments", multiple=True, metavar="KEY=VALUE",
        help=f"Any key, as the file writes it: limits.class.bulk-batch.attempts=2; also {SET_VARIABLE}.",
    )(function)
    return click.option(
        "--operator", "operator_file", type=click.Path(), help=f"The operator's file; also {FILE_VARIABLE}."
    )(function)


def flags_of(values: dict[str, Any]) -> dict[tuple[str, str], str]:
    """Flags by section and key, from the keyword arguments of a command."""
    flags = {("", assignment): "" for assignment in values.pop("assignments", ())}
    for name, value in values.items():
        section, double, key = name.partition("__")
        if double and value is not None:
            flags[section, key] = str(value)
    return flags


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def command(context: click.Context) -> None:
    """Load balancer for text-message jobs.  Without a command: serve.

    Example: GW_CONFIG=examples/config.json rushsaddle serve
    """
    if context.invoked_subcommand is None:
        context.invoke(serve)


@command.command()
@settings_options
def serve(operator_file: str | None = None, **values: Any) -> None:
    """Serve until SIGTERM.

    Example: rushsaddle serve --operator deploy/operator.toml --waiting-most 5000
    """
    from . import node

    flags = flags_of(values)

    def read_operator() -> tuple[Operator, Source] | None:
        if not is_configured(os.environ, operator_file, flags):
            return None
        return read_with_source(operator_file, os.environ, flags)

    sys.exit(node.serve(read_operator))


def platform_of(config: str | None) -> Settings | None:
    """The platform's settings from a node's configuration; exits where it is invalid."""
    if config is None:
        return None
    from .config import ConfigError
    from .config import read as read_config

    try:
        unused = "127.0.0.1:0"
        env = {"GW_CONFIG": config, "GW_LISTEN": unused, "GW_DISCOVERY": unused}
        return read_config(env).settings
    except ConfigError as error:
        fail(error)
        raise


@command.command()
@click.argument("file", type=click.Path())
@click.option("--settings", metavar="CONFIG", type=click.Path(), help="A node's configuration.")
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
def check(file: str, settings: str | None, as_json: bool) -> None:
    """Check an operator's file: exit code 0 if it is valid, else 2 and one line per fault.

    Example: rushsaddle check deploy/operator.toml --settings examples/config.json
    """
    import orjson

    try:
        operator = check_file(file, platform_of(settings))
    except OperatorError as error:
        if as_json:
            print(orjson.dumps({"file": file, "good": False, "faults": error.faults}).decode())
        else:
            print("\n".join(error.faults), file=sys.stderr)
        sys.exit(2)
    if as_json:
        print(orjson.dumps({"file": file, "good": True, "waiting": operator.waiting.enabled}).decode())
    else:
        print(f"{file}: good")


@command.command()
@click.argument("file", type=click.Path())
@click.option(
    "--settings", metavar="CONFIG", type=click.Path(), required=True, help="A node's configuration."
)
@click.option("--class", "cls", metavar="NAME", required=True, help="A job class.")
@click.option("--route", metavar="PATH", help="A path; default: the limits of the class.")
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
def explain(file: str, settings: str, cls: str, route: str | None, as_json: bool) -> None:
    """Show the limits in force for a class or path, and the line that set each.

    Example: rushsaddle explain deploy/operator.toml --settings examples/config.json --class single-text
    """
    import orjson

    from .operator.explain import ExplainError, explain_limits

    platform = platform_of(settings)
    assert platform is not None
    try:
        rows = explain_limits(file, platform, cls, route)
    except (OperatorError, ExplainError) as error:
        fail(error)
        return
    for row in rows:
        if as_json:
            click.echo(orjson.dumps(row))
        else:
            click.echo(f"{row['key']} = {row['value']}  ({row['from']})")


@command.group()
def limits() -> None:
    """Limits of a running node.

    Example: rushsaddle limits show --node 127.0.0.1:7070
    """


@limits.command()
@click.option("--node", metavar="HOST:PORT", required=True, help="Address of a running node.")
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
def show(node: str, as_json: bool) -> None:
    """Show the generation in force, the state of each key, and the refusals.

    Example: rushsaddle limits show --node 127.0.0.1:7070 --json
    """
    import orjson

    try:
        status, reply = RunningNode(node).ask("GET", "/limits")
    except JobsError as error:
        fail(error, error.code)
        return
    if status != 200:
        fail(f"{node}: {status}: this node has no limits ({reply})", 1)
    if as_json:
        click.echo(orjson.dumps(reply))
        return
    click.echo(f"generation {reply['generation']} ({reply['checksum']}), {reply['open']} requests open")
    for old in reply["older"]:
        click.echo(f"generation {old['generation']}: {old['open']} requests still open")
    for name, key in reply["keys"].items():
        click.echo(f"{name}: {key['in_flight']} in flight, usually {key['usual_ms']} ms"
                   + (f", adaptive bound {key['adaptive']}" if key["adaptive"] is not None else ""))
    for refused in reply["refused"]:
        click.echo(f"refused {refused['count']} by {refused['limit']} of {refused['key']}")


@command.command()
@click.option("--json", "as_json", is_flag=True, help="JSON output.")
def version(as_json: bool) -> None:
    """Show the version of this program.

    Example: rushsaddle version --json
    """
    import orjson

    from . import VERSION

    print(orjson.dumps({"version": VERSION}).decode() if as_json else f"rushsaddle {VERSION}")


command.add_command(jobs)
command.add_command(fleet)
