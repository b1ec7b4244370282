"""Forecasts the pauses that reading prompts causes to the streams of an engine.

Answers long streams that share uneven engines with many prompts.  An engine that reads
a prompt in pieces between the tokens of its streams pauses all of them, on a slow
engine in a slow moment for longer than callers accept.

The longest pause of a stream is a multiple of the usual gap between events of its
engine.  How often one prompt causes a given multiple is the same on all engines of a
service, and is learned from its streams.
"""

import dataclasses
import typing as t

DELAY_VALUE = 0.25
"""Cost of a second of delay, against that of a second by which a run is late: most runs
begin long before their target latency is over."""
MIN_STREAMS = 12
"""With fewer observed streams the initial estimate is part of the distribution."""
FRESH_SECONDS = 0.15
"""Age up to which a stated slowdown tells how long work takes now."""
RESUME_WITHIN_SECONDS = 1.5
"""Time within which a run is resumed at the copy that is made when its engine begins to
shut down."""
LENGTH_ERROR = 3.0
"""Factor by which callers' estimates of an answer's length are often too low."""
READING_RATIO = 2.0
"""Lengthening of the steps in which a piece of a prompt is read."""


@dataclasses.dataclass(slots=True, frozen=True)
class PauseCost:
    """Cost of a pause that is longer than callers accept.

    :param gap_target: longest pause in seconds that callers accept.
    :param seconds: delay of a first event that costs a caller as much as a stream with
        a longer pause, which is the target latency: either makes the answer late.
    """

    gap_target: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class StreamPause:
    """Longest pause of a stream that stayed on one engine.

    :param ratio: multiple of the usual gap between the engine's events.
    :param prompts: prompts that the engine read beside the stream.
    """

    ratio: float
    prompts: int


INITIAL_PAUSES = tuple(StreamPause(ratio, 4) for ratio in (2.0, 3.0, 4.0, 5.0))
"""Initial estimate: a piece of a prompt doubles a step, and a slow moment lengthens it
further."""


def pause_hazard(
    pauses: t.Sequence[StreamPause], *, gap: float, gap_target: float
) -> float:
    """Probability that a prompt pauses a stream beside it for more than its target.

    :param pauses: longest pauses of recent streams.
    :param gap: usual seconds between the events of a stream on the engine.
    """
    if gap <= 0.0 or gap_target <= 0.0:
        return 0.0
    known = list(pauses)
    if len(known) < MIN_STREAMS:
        known += INITIAL_PAUSES
    limit = gap_target / gap
    paused = sum(pause.ratio > limit for pause in known)
    return min(1.0, paused / max(1, sum(pause.prompts for pause in known)))


def lifetime_risk(hazard: float, *, prompts: float) -> float:
    """Probability that a stream is paused for too long until its end.

    :param prompts: prompts that are expected beside it.
    """
    return 1.0 - (1.0 - hazard) ** prompts


def can_be_paused(*, seconds: float, reading: float) -> bool:
    """Whether a stream may make events for as long as a prompt is read beside it.

    :param seconds: expected seconds from its first event to its last.
    :param reading: seconds in which the engine reads a prompt.
    """
    return LENGTH_ERROR * seconds >= reading


def resumption_hazard(*, reading: float, gap_target: float) -> float:
    """Probability that a prompt pauses a run that is to be resumed on its engine.

    An engine completes the prompt that it reads before it resumes a run, which may come
    at any moment of the notice with which engines shut down.

    :param reading: seconds in which the engine reads the prompt.
    """
    return min(1.0, max(0.0, reading - gap_target) / RESUME_WITHIN_SECONDS)


def expected_loss(
    *, own: float, others: t.Iterable[float], pause_cost: PauseCost
) -> float:
    """Expected loss by placing a run, as seconds of delay that cost as much.

    :param own: risk of the run itself.
    :param others: hazard of each stream that the prompt would be read beside, without
        those that were paused for too long already.
    """
    return pause_cost.seconds / DELAY_VALUE * (own + sum(others))


def is_slow_moment(
    slowdown: float, *, age: float, gap: float, gap_target: float
) -> bool:
    """Whether a prompt that is read now would pause streams beside it for too long.

    Such moments last for some tenths of a second, about as long as reading a prompt, so
    another engine is better.

    :param slowdown: stated multiple of the usual time.
    :param age: seconds since it was stated; an old figure says nothing.
    :param gap: seconds between events while work takes as usual.
    """
    if not 0.0 <= age <= FRESH_SECONDS or gap_target <= 0.0:
        return False
    return slowdown * gap * READING_RATIO > gap_target
