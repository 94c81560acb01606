"""The commands.  ``python -m rushsaddle`` without one serves without reading this file."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click

from .cli_jobs import fail, jobs
from .operator.load import FILE_VARIABLE, PREFIX, OperatorError, read, wanted
from .operator.records import SECTIONS, Operator

F = TypeVar("F", bound=Callable[..., Any])


def settings_options(function: F) -> F:
    """A flag for each key of the operator's file; the environment's names stand in the help."""
    for section, record in reversed(SECTIONS.items()):
        for key in reversed(record.__struct_fields__):
            variable = f"{PREFIX}{section}__{key}".upper()
            function = click.option(
                f"--{section}-{key.replace('_', '-')}", f"{section}__{key}", metavar="VALUE",
                help=f"{section}.{key} of the file; also {variable}.",
            )(function)
    return click.option(
        "--operator", "operator_file", type=click.Path(), help=f"The operator's file; also {FILE_VARIABLE}."
    )(function)


def flags_of(values: dict[str, Any]) -> dict[tuple[str, str], str]:
    flags = {}
    for name, value in values.items():
        section, double, key = name.partition("__")
        if double and value is not None:
            flags[section, key] = str(value)
    return flags


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def command(context: click.Context) -> None:
    """Spreads text-message jobs over senders.  Without a command: serve.

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

    def settle() -> Operator | None:
        if not wanted(os.environ, operator_file, flags):
            return None
        return read(operator_file, os.environ, flags)

    sys.exit(node.serve(settle))


@command.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def check(file: str, as_json: bool) -> None:
    """Check an operator's file: exit code 0 where it is good, 2 and one line where it is not.

    Example: rushsaddle check deploy/operator.toml
    """
    import orjson

    try:
        operator = read(file, {}, {})
    except OperatorError as error:
        if as_json:
            print(orjson.dumps({"file": file, "good": False, "why": str(error)}).decode())
            sys.exit(2)
        fail(error)
        return
    if as_json:
        print(orjson.dumps({"file": file, "good": True, "waiting": operator.waiting.enabled}).decode())
    else:
        print(f"{file}: good")


@command.command()
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def version(as_json: bool) -> None:
    """The version of this program.

    Example: rushsaddle version --json
    """
    import orjson

    from . import VERSION

    print(orjson.dumps({"version": VERSION}).decode() if as_json else f"rushsaddle {VERSION}")


command.add_command(jobs)
