"""Agreement of a node's processes on a request that must not run twice, before it is sent on."""

from __future__ import annotations

from ..core.loop import Coroutine, Loop, Wait
from ..core.request_ids import RequestIds
from .leg import Leg

AGREEMENT_TIMEOUT_US = 20_000  # a process that is held up for longer is not waited for


def agree(loop: Loop, ids: RequestIds, leg: Leg, name: str) -> Coroutine[bool]:
    """Claim an id; False if another process of this node has it, or is about to use it.

    The caller then takes the id, or withdraws it. Nothing is waited for where there is no other process.
    """
    task = leg.task
    assert task is not None
    claim = ids.claim(name, lambda: loop.wake(task))
    until = loop.now_us() + AGREEMENT_TIMEOUT_US
    while not claim.settled and loop.now_us() < until:
        yield Wait(until_us=until)
    if claim.refused:
        ids.withdraw(name)
    return not claim.refused
