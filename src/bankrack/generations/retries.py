"""A budget for retries, so that retries never multiply an outage."""

RATIO = 0.1
RESERVE = 10.0


class RetryBudget:
    """Allows retries in proportion to requests.

    :param ratio: retries earned by each request.
    :param reserve: most retries that may be saved up.
    """

    __slots__ = ("_ratio", "_reserve", "_saved", "refused", "taken")

    def __init__(self, *, ratio: float = RATIO, reserve: float = RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._saved = reserve
        self.taken = 0
        self.refused = 0

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def earn(self) -> None:
        """Count one request."""
        self._saved = min(self._reserve, self._saved + self._ratio)

    def take(self) -> bool:
        """Take one retry; tell whether the budget allows it."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        self.taken += 1
        return True
