"""How engines serve runs that move: late heads, stalls, and answers without events.

Apart from these, how they fall silent and what they report meanwhile, and what the
holders of copies do with the runs that are sent to them.
"""

import dataclasses
import enum
import math
import random

STALL_FRACTION = 0.3
"""Fraction of the runs that stand still in midstream."""
STALL_SECONDS = (0.4, 3.0)
LATE_HEAD_FRACTION = 0.6
"""Fraction of the resumed runs whose head comes with their first event."""
HEAD_DELAY_SECONDS = (0.1, 2.0)
BREAK_FRACTION = 0.05
"""Fraction of the new runs that are broken off before their first event."""
FIRST_EVENTS = 12
"""A run stands still before one of so many events."""
SILENT_FRACTION = 0.35
"""Fraction of the new runs that fall silent, if engines do."""
SILENT_SECONDS = (0.7, 3.0)


class Report(enum.Enum):
    """What an engine's report states of a run that is silent."""

    WITHOUT_RUNS = "no runs stated"
    STANDING_STILL = "standing still"
    PREEMPTED = "preempted"


class AtCopy(enum.Enum):
    """What the holder of a copy does with the run, as a status and a delay in seconds.

    The status 0 stands for a reset, and 1 for a rejection that is stated.
    """

    GO_ON = (200, 0.0)
    REJECT = (1, 0.0)
    REJECT_LATE = (1, 0.25)
    MISS = (404, 0.0)
    STATE_NOTHING = (503, 0.0)
    RESET = (0, 0.0)
    ANSWER_LATE = (1, 3.0)
    NEVER_ANSWER = (1, 60.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """How a run falls silent, while its engine answers calls.

    :param after: number of events that were sent before.
    """

    report: Report
    after: float
    seconds: float


def draw_silence(rng: random.Random, *, states_runs: bool) -> Silence:
    """Draw whether and how a new run falls silent."""
    is_silent, after = rng.random() < SILENT_FRACTION, rng.randint(1, FIRST_EVENTS)
    seconds = rng.uniform(*SILENT_SECONDS)
    report = rng.choice((Report.STANDING_STILL, Report.PREEMPTED))
    return Silence(
        report if states_runs else Report.WITHOUT_RUNS,
        after if is_silent else math.inf,
        seconds,
    )


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
