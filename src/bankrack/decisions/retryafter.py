"""Computes the retry delay for callers whose requests are rejected.

Many callers may be rejected at the same moment.  With equal delays they would return
together and be rejected again; with delays shorter than the queue they would return too
early.
"""

MAX_WAIT_FRACTION = 1 / 3
"""Upper bound of the delay, as a fraction of the caller's remaining time."""
JITTER_FRACTION = 0.3
"""Fraction of the delay by which it varies between callers."""
MIN_RETRY_AFTER_SECONDS = 0.1


def retry_after_seconds(expected: float, *, left: float, draw: float) -> float:
    """Seconds after which the caller should retry.

    :param expected: estimated seconds until there is capacity.
    :param left: seconds until the caller's deadline.
    :param draw: random number from 0 to 1, drawn for each caller.
    """
    longest = MAX_WAIT_FRACTION * left
    if expected > longest:
        # The jitter is subtracted: added, the bound would make all delays equal.
        return max(MIN_RETRY_AFTER_SECONDS, longest * (1.0 - JITTER_FRACTION * draw))
    return max(
        MIN_RETRY_AFTER_SECONDS, min(expected * (1.0 + JITTER_FRACTION * draw), longest)
    )
