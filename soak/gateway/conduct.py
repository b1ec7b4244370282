"""How engines serve runs that move: late heads, stalls, and answers without events."""

import dataclasses
import math
import random

STALL_FRACTION = 0.18
"""Fraction of the runs that stand still in midstream."""
STALL_SECONDS = (0.4, 3.0)
LATE_HEAD_FRACTION = 0.6
"""Fraction of the resumed runs whose head comes with their first event."""
HEAD_DELAY_SECONDS = (0.1, 2.0)
BREAK_FRACTION = 0.05
"""Fraction of the new runs that are broken off before their first event."""
FIRST_EVENTS = 12
"""A run stands still before one of so many events."""


@dataclasses.dataclass(slots=True, frozen=True)
class Conduct:
    """How an engine serves one run.

    :param head_delay: seconds until the head of the answer.
    :param breaks_off: the answer is broken off before its first event.
    :param stall_after: number of events that it sends before it stands still.
    :param stall_seconds: time for which it stands still while it stays connected.
    """

    head_delay: float = 0.0
    breaks_off: bool = False
    stall_after: float = math.inf
    stall_seconds: float = 0.0


def draw(rng: random.Random, *, resumed: bool) -> Conduct:
    """Draw the conduct for a run; each takes the same number of draws."""
    late, breaks, stalls = (rng.random() for _ in range(3))
    delay, stall = rng.uniform(*HEAD_DELAY_SECONDS), rng.uniform(*STALL_SECONDS)
    after = rng.randint(1, FIRST_EVENTS)
    return Conduct(
        head_delay=delay if resumed and late < LATE_HEAD_FRACTION else 0.0,
        breaks_off=not resumed and breaks < BREAK_FRACTION,
        stall_after=after if stalls < STALL_FRACTION else math.inf,
        stall_seconds=stall,
    )
