"""What a caller at the operators' door says: bytes in, a call or the reason against it out.  No I/O."""

from __future__ import annotations

from enum import StrEnum

LINE_MOST = 128  # bytes: the longest call has seven


class Call(StrEnum):
    STATUS = "STATUS"
    METRICS = "METRICS"
    PAUSE = "PAUSE"
    RESUME = "RESUME"


class Unfit(Exception):
    """What was said is no call: why, in a few words."""


def read(data: bytes, ended: bool) -> Call | None:
    """The call that these bytes are; None while it has not come whole.  Raises Unfit.

    A call is one word and an LF, before which a CR may stand.  One that was cut off is none, however
    clear its beginning: PAUSE must not happen because a line broke off there.
    """
    line, found, rest = data.partition(b"\n")
    if len(line) > LINE_MOST:
        raise Unfit("the line is too long")
    if not found:
        if ended:
            raise Unfit("the line did not end")
        return None
    if rest:
        raise Unfit("one line to a connection")
    line = line.removesuffix(b"\r")
    if not line:
        raise Unfit("the line is empty")
    if not line.isascii():
        raise Unfit("not ASCII")
    if b"\r" in line:
        raise Unfit("a CR within the line")
    try:
        return Call(line.decode("ascii"))
    except ValueError:
        raise Unfit(f"not a call; there are {', '.join(Call)}") from None
