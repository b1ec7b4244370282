"""When a run is moved off an engine that sends no events.

A run is lost if the engine with its copy fails once the run was sent there.  A silent
engine that lives may go on, so it is waited for as long as a copy can take over in
time.  One that does not answer, or does not have the run any more, is not waited for.

No engine is waited for longer than leaves a copy the time to finish the run.
"""

import dataclasses
import math

RESUME_SECONDS = 0.6
"""Time that a copy has to take over before the caller gives up."""
CALLER_MARGIN_SECONDS = 0.25
"""Time by which a caller may give up later, as it received the last event later."""
ASK_INTERVAL_SECONDS = 0.25
"""Pause before a silent engine is asked again."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unanswered:
    """The engine did not answer, or another instance did."""


@dataclasses.dataclass(slots=True, frozen=True)
class NotAsked:
    """The engine lives, but gives no report or may not be asked for one now."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunListed:
    """The engine answered and has the run.

    :param tokens: tokens of the run in its memory.
    """

    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class RunNotListed:
    """The engine answered and lists its runs, but not this one."""


@dataclasses.dataclass(slots=True, frozen=True)
class RunsNotStated:
    """The engine answered without a list of its runs."""


EngineAnswer = Unanswered | NotAsked | RunListed | RunNotListed | RunsNotStated


@dataclasses.dataclass(slots=True, frozen=True)
class TimeLeft:
    """Time in which a run can still end, and what it needs at a copy.

    :param seconds: until the caller's time is over or this node ends.
    :param begin: seconds in which a copy of the pool begins, at most.
    :param rest: expected seconds from the run's next event to its last.
    """

    seconds: float
    begin: float
    rest: float

    @property
    def spare(self) -> float:
        """Seconds for which a copy need not be sent the run yet."""
        if self.rest >= self.seconds:
            # Nothing ends the run in time, so that nothing is staked for it.
            return math.inf
        return self.seconds - self.rest - self.begin


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Keep the engine, and ask again after some seconds."""

    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Send the run to the engine with its copy."""


def next_step(
    silence: float,
    engine: EngineAnswer,
    before: EngineAnswer | None,
    *,
    max_silence: float,
    time_left: TimeLeft,
    holder_answered: bool,
    ask_seconds: float,
) -> Wait | Move:
    """Decide whether to move a run off its silent engine.

    :param silence: seconds since the engine has sent anything.
    :param engine: its newest answer.
    :param before: its previous answer in the same silence, if any.
    :param max_silence: seconds without an event after which the caller gives up.
    :param time_left: time for the rest of the run.
    :param holder_answered: an engine with a copy has just answered.
    :param ask_seconds: time for which engines are asked.
    """
    after = _move_after(engine, before, max_silence)
    if not holder_answered:
        if not isinstance(engine, Unanswered):
            return Wait(ASK_INTERVAL_SECONDS)
        # Nobody answers, so the copy is tried once as late as it can take over.
        after = max_silence - RESUME_SECONDS
    left = min(after - silence, time_left.spare)
    if left <= 0:
        return Move()
    return Wait(max(0.0, min(ASK_INTERVAL_SECONDS, left - ask_seconds)))


def _move_after(
    engine: EngineAnswer, before: EngineAnswer | None, max_silence: float
) -> float:
    """Return the seconds of silence after which a run is moved."""
    match engine, before:
        case ((Unanswered() | RunNotListed()), _):
            return 0.0
        case RunListed(tokens), RunListed(tokens_before) if tokens > tokens_before:
            return max_silence + CALLER_MARGIN_SECONDS
        case ((RunListed() | NotAsked()), _):
            return max_silence - RESUME_SECONDS
        case RunsNotStated(), _:
            return max_silence + CALLER_MARGIN_SECONDS
