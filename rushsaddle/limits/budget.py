"""A budget of retries and second copies by first tries, asked by the decision module before each of them."""

from __future__ import annotations

FLOOR = 3.0  # retries that are always saved up: in quiet times one lost job must not wait for ten others
SAVED = 10.0  # retries that may be saved up at the most


class RetryBudget:
    """``share`` of first tries may be followed by a further attempt."""

    __slots__ = ("held", "share")

    def __init__(self, share: float) -> None:
        self.share = share
        self.held = FLOOR

    def first(self) -> None:
        """A request has begun."""
        self.held = min(max(SAVED, FLOOR), self.held + self.share)

    def take(self) -> bool:
        """One more attempt for a request that had one; False where the budget is spent."""
        if self.share <= 0.0 or self.held < 1.0:
            return False
        self.held -= 1.0
        return True
