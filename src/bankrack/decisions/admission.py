"""Whether a run goes to an engine now, waits in line, or is refused at once.

Load pattern: the runs of a pool come to need more memory than its engines have.  Sent
on all the same they preempt each other, and what was read of them is read again.
"""

import dataclasses
import typing as t

from bankrack.decisions.line import Candidate
from bankrack.decisions.line import total_need
from bankrack.decisions.memory import Release
from bankrack.decisions.memory import seconds_until_freed

MIN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.3
"""Rest until a run that waits asks again; an answer costs the node that keeps the line
well under 1 ms."""
PAUSE_PART = 0.2
"""Part of the expected wait after which a run asks again."""
UNKNOWN_PAUSE_SECONDS = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class Admit:
    """The run may go to any of these engines.

    :param engines: ids; in an allocator's verdict the best one first.
    """

    engines: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """No engine has room for the run, or others go first.

    :param seconds: after which to ask again.
    :param ahead: how many runs go first.
    :param expected: seconds until there is a place, if that can be told.
    """

    seconds: float
    ahead: int
    expected: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """The run can't begin while that is of any use.

    :param expected: seconds until there is a place.
    """

    ahead: int
    expected: float


Verdict = Admit | Wait | Refuse


def decide(
    candidate: Candidate,
    *,
    free_by_engine: t.Mapping[str, float],
    ahead: t.Sequence[Candidate],
    releases: t.Iterable[Release],
    now: float,
) -> Verdict:
    """Decide on a run.

    :param free_by_engine: tokens of memory that stay free when all runs there are at
        their largest.
    :param ahead: runs that go first, the first one first.
    :param releases: what the runs of the pool are expected to give back.
    """
    free = _left_by(ahead, free_by_engine)
    found = tuple(name for name, room in free.items() if room >= candidate.need)
    if found:
        return Admit(found)
    wanted = total_need(ahead) + candidate.need
    expected = seconds_until_freed(wanted, releases)
    if now + (expected or 0.0) > candidate.ends:
        return Refuse(len(ahead), expected or MAX_PAUSE_SECONDS)
    return Wait(_pause(expected), len(ahead), expected)


def _left_by(
    ahead: t.Iterable[Candidate], free_by_engine: t.Mapping[str, float]
) -> dict[str, float]:
    """What those who go first leave free.

    One that fits nowhere has the emptiest engine kept for itself until it does: without
    that small runs would take bit by bit what a large one waits for, and with all
    engines kept one run of 33,000 tokens stops a pool of 5 x 34,000 for seconds.
    """
    free = dict(free_by_engine)
    for other in ahead:
        if not free:
            break
        name = max(free, key=lambda engine: free[engine])
        free[name] = max(0.0, free[name] - other.need)
    return free


def _pause(expected: float | None) -> float:
    if expected is None:
        return UNKNOWN_PAUSE_SECONDS
    return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, PAUSE_PART * expected))
