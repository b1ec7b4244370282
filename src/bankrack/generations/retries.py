"""Retry budget, which limits the load that retries add during an outage."""

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket that allows retries in proportion to requests.

    :param ratio: retries added by each request.
    :param reserve: capacity of the bucket, in retries.
    """

    __slots__ = ("_ratio", "_reserve", "_saved", "refused", "taken")

    def __init__(
        self, *, ratio: float = RETRIES_PER_REQUEST, reserve: float = MAX_SAVED_RETRIES
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._saved = reserve
        self.taken = 0
        self.refused = 0

    @property
    def saved(self) -> float:
        """Number of retries that are available now."""
        return self._saved

    def earn(self) -> None:
        """Add the retries that one request earns."""
        self._saved = min(self._reserve, self._saved + self._ratio)

    def take(self) -> bool:
        """Use one retry; return whether the budget allows it."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        self.taken += 1
        return True
