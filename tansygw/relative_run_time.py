"""The mean run time at one worker or machine kind, relative to its class and weighted to the newest."""

from __future__ import annotations

# Weight of the prior in observations: run times vary widely, so few of them prove little.
PRIOR_WEIGHT = 5.0


class RelativeRunTime:
    """A decaying mean of the logarithm of run times relative to all requests of their class; 0 is average."""

    __slots__ = ("count", "decay", "total")

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.count = self.total = 0.0

    def add(self, log_ratio: float) -> None:
        """Add one run time, as the logarithm of its ratio to the class's usual run time."""
        self.count = self.count * self.decay + 1.0
        self.total = self.total * self.decay + log_ratio

    def estimate(self, prior: float = 0.0) -> float:
        """Return the mean, with ``prior`` weighted as ``PRIOR_WEIGHT`` observations."""
        return (self.total + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)
