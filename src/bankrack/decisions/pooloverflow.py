"""Decides which of its two pools takes a run of a large service.

Digests split the engines of a service unevenly, engines of one hall vanish together,
and bursts last for less time than runs do: one pool is full while another has room.
Each run has two candidate pools, by two digests of its id.  It asks the owner of the
first one, and the second only if the first cannot take the run now.

The owner of the second pool decides with its own ledger and counts an admitted run at
once.  So nodes that overflow together cannot overfill it, however old the information
is by which they asked it: the memory of earlier verdicts only saves messages.
"""

import dataclasses
import math

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import MAX_RETRY_SECONDS
from bankrack.decisions.admission import MIN_RETRY_SECONDS
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait

FULL_SECONDS = MAX_RETRY_SECONDS
"""A verdict is remembered for this time, in which the run that got it asks again."""
MIN_MOVE_SECONDS = 1.0
"""A queued run changes to the other queue only if it waits less there by this time.

Expected waits are estimates; a change for less would often gain nothing."""
MIN_MOVE_RATIO = 2.0
"""It must also be the longer wait by this factor."""


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """What decides whether a pool has room for a run.

    :param tokens: memory that the run is expected to need.
    :param rank: rank of the workspace, then of the route; the lowest is served first.
    """

    tokens: int
    rank: tuple[int, int]

    def is_harder_than(self, other: "Size") -> bool:
        """Whether a pool without room for the other run has none for this one."""
        return self.tokens >= other.tokens and self.rank >= other.rank


@dataclasses.dataclass(slots=True, frozen=True)
class FullPool:
    """A pool whose owner did not admit a run.

    :param size: of the run.
    :param expected: estimated seconds until the pool has room for it, if known.
    :param at: time of the verdict.
    """

    size: Size
    expected: float | None
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AskSecond:
    """Ask the owner of the second pool as well.

    :param queue: the run may also wait there, as it does not wait in the first pool.
    """

    queue: bool


def next_question(
    first: Verdict | None,
    *,
    size: Size,
    second: FullPool | None,
    waited: bool,
    now: float,
) -> AskSecond | None:
    """Decide whether the second pool is asked; ``None`` if not.

    :param first: verdict of the first pool's owner; ``None`` if it gave none.
    :param second: last verdict of the second pool's owner that was no admission.
    :param waited: the run was told to wait before.
    """
    match first:
        case Admit(engines) if engines:
            return None
        case Refuse():
            # A run is refused only by the word of both owners.
            # One that has waited keeps its start deadline, which a second queue would
            # count anew.
            return AskSecond(queue=not waited)
        case Wait(expected=expected):
            if not waited and expected is not None and expected < MIN_RETRY_SECONDS:
                return None
            if second is not None and _is_full(second, size, now):
                return None
    return AskSecond(queue=False)


def _is_full(pool: FullPool, size: Size, now: float) -> bool:
    """Whether the last verdict also holds for this run."""
    return now < pool.at + FULL_SECONDS and size.is_harder_than(pool.size)


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The result of asking both pools.

    :param verdict: verdict that holds for the run.
    :param second: the run now belongs to the second pool.
    """

    verdict: Verdict | None
    second: bool


def settle(
    first: Verdict | None,
    second: Verdict | None,
    *,
    may_move: bool,
    may_queue: bool = True,
) -> Outcome:
    """Decide where a run goes by the verdicts of both owners.

    :param may_move: the run may leave the first pool's queue for the second one's.
    :param may_queue: a run that the first pool refuses may wait in the second one.
    """
    match first, second:
        case _, Admit(engines) if engines:
            return Outcome(second, second=True)
        case Refuse(), Wait() if may_queue:
            return Outcome(second, second=True)
        case Refuse(expected=own), Refuse(expected=other):
            expected = min(own, other)
            return Outcome(dataclasses.replace(first, expected=expected), second=False)
        case Wait(expected=own), Wait(expected=other) if may_move:
            own = math.inf if own is None else own
            if other is not None and _is_worth_moving(own, other):
                return Outcome(second, second=True)
    return Outcome(first, second=False)


def _is_worth_moving(own: float, other: float) -> bool:
    return own >= max(other + MIN_MOVE_SECONDS, MIN_MOVE_RATIO * other)
