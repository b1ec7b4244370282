"""Decides up to which memory use of a pool its runs get backups.

A backup takes as much memory as its run.  Where engines rarely crash, this memory is
better used for other runs; where they crash often, a backup saves runs that callers
have already received in part.
"""

import math

CALM_BACKUP_FILL = 0.45
"""Fraction of a pool's memory up to which runs get backups when crashes are rare.

It is compared with the recent peak: backups that were granted during a short lull
would cause preemptions at the next peak."""
MAX_BACKUP_FILL = 0.8
"""The same when crashes are likely; the rest of the memory is left for growth."""
LIKELY_CRASH_PROBABILITY = 0.1
"""Crash probability during a run from which ``MAX_BACKUP_FILL`` applies."""


def crash_probability(
    crashes: int, *, upstreams: int, window: float, seconds: float
) -> float:
    """Probability that an upstream crashes within the given time.

    :param crashes: number of crashes of the service's upstreams in the window.
    :param upstreams: number of upstreams of the service.
    :param window: length of the window in seconds.
    :param seconds: time for which the probability is estimated.
    """
    rate = crashes / (max(1, upstreams) * window)
    return 1.0 - math.exp(-rate * seconds)


def max_fill_with_backup(probability: float) -> float:
    """Fraction of a pool's memory up to which a run gets a backup.

    :param probability: that the run's engine crashes before the run ends.
    """
    likely = min(1.0, probability / LIKELY_CRASH_PROBABILITY)
    return CALM_BACKUP_FILL + (MAX_BACKUP_FILL - CALM_BACKUP_FILL) * likely
