"""Retry budget: retries and hedged requests as a share of first attempts; the dispatcher asks before each."""

from __future__ import annotations

INITIAL_TOKENS = 3.0  # with little traffic a single failed job must not have to wait for ten others
MAX_TOKENS = 10.0


class RetryBudget:
    """Permits further attempts up to ``share`` of the first attempts."""

    __slots__ = ("share", "tokens")

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = INITIAL_TOKENS

    def on_request(self) -> None:
        """A request has begun: credit its share."""
        self.tokens = min(max(MAX_TOKENS, INITIAL_TOKENS), self.tokens + self.share)

    def take(self) -> bool:
        """Spend a token on a further attempt; False if the budget is exhausted."""
        if self.share <= 0.0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
