"""The parser of the admin port's commands.  No I/O."""

from __future__ import annotations

from enum import StrEnum

MAX_LINE_BYTES = 128  # the longest command has 7


class Command(StrEnum):
    """The commands of the admin port."""

    STATUS = "STATUS"
    METRICS = "METRICS"
    PAUSE = "PAUSE"
    RESUME = "RESUME"


class InvalidCommand(Exception):
    """The input is not a command; the message is sent to the client."""


def parse(data: bytes, ended: bool) -> Command | None:
    """Parses a command; None while it is incomplete.  Raises InvalidCommand.

    A command is one word followed by LF or CR LF.  A truncated line is never a command, even if it begins
    like one: a longer line cut off after PAUSE must not pause the node.
    """
    line, found, rest = data.partition(b"\n")
    if len(line) > MAX_LINE_BYTES:
        raise InvalidCommand("the line is too long")
    if not found:
        if ended:
            raise InvalidCommand("the line did not end")
        return None
    if rest:
        raise InvalidCommand("one line to a connection")
    line = line.removesuffix(b"\r")
    if not line:
        raise InvalidCommand("the line is empty")
    if not line.isascii():
        raise InvalidCommand("not ASCII")
    if b"\r" in line:
        raise InvalidCommand("a CR within the line")
    try:
        return Command(line.decode("ascii"))
    except ValueError:
        raise InvalidCommand(f"not a call; there are {', '.join(Command)}") from None
