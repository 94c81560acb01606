"""The lifecycle state of the process: the single source on whether it serves, drains or shuts down."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum


class Phase(StrEnum):
    """Phases of the process."""

    STARTING = "starting"  # not yet able to serve
    SERVING = "serving"
    PAUSED = "paused"  # drained by an operator, who may resume it
    ENDING = "ending"  # shutting down, which is final


class Lifecycle:
    """Tracks the phase.  A pause before the process is ready persists; shutting down overrides all else."""

    def __init__(self) -> None:
        self._can_serve = self._paused = self._ending = False
        self._callbacks: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        """The current phase."""
        if self._ending:
            return Phase.ENDING
        if not self._can_serve:
            return Phase.STARTING
        return Phase.PAUSED if self._paused else Phase.SERVING

    @property
    def accepts_work(self) -> bool:
        """True where the node should get new requests."""
        return self.phase is Phase.SERVING

    @property
    def started(self) -> bool:
        """True once the process has become able to serve, also while it shuts down."""
        return self._can_serve

    @property
    def can_serve(self) -> bool:
        """True where requests that still arrive are served, even on a paused node."""
        return self._can_serve and not self._ending

    @property
    def draining(self) -> bool:
        """True where callers should move to another node."""
        return self._ending or self._paused

    def watch(self, callback: Callable[[], None]) -> None:
        """Register a callback for every change."""
        self._callbacks.append(callback)

    def ready(self) -> bool:
        """Mark the process as able to serve; return False where nothing changes."""
        return self._change(self._can_serve, "_can_serve", True)

    def pause(self) -> bool:
        """Pause; return False where the node is already paused or shutting down."""
        return self._change(self._paused or self._ending, "_paused", True)

    def resume(self) -> bool:
        """End a pause; return False where the node is not paused or is shutting down."""
        return self._change(not self._paused or self._ending, "_paused", False)

    def end(self) -> bool:
        """Begin to shut down; return False where that has already begun."""
        return self._change(self._ending, "_ending", True)

    def _change(self, unchanged: bool, flag: str, value: bool) -> bool:
        if unchanged:
            return False
        setattr(self, flag, value)
        for callback in self._callbacks:
            callback()
        return True
