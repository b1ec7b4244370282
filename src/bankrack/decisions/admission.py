"""Decides whether a run is sent to an engine now, queued or rejected.

Runs of a pool may need more memory than its engines have.  Engines that are sent too
many runs preempt some of them and read their prompts again.

When an engine joins a pool with a long admission queue, all queued runs would fit into
its memory and wait there for their prompts to be read, while other engines could still
take them.  The limit on unread prompt tokens prevents this.
"""

import dataclasses
import typing as t

from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.admissionqueue import total_need
from bankrack.decisions.memory import Release
from bankrack.decisions.memory import seconds_until_freed

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.3
"""Longest delay until a queued run asks again."""
RETRY_FRACTION = 0.2
"""Fraction of the expected wait after which a queued run asks again."""
DEFAULT_RETRY_SECONDS = 0.1
"""Delay where the wait cannot be estimated."""


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Capacity of an engine for a new run, in tokens.

    :param free: memory that stays free at the peak use of the engine's current runs.
    :param unread: prompt tokens that the engine still has to read.
    """

    free: float
    unread: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class ReadLimits:
    """How fast engines read prompts, and how many unread prompt tokens they may have.

    :param rate: prompt tokens per second of one engine.
    :param max_unread: an engine with more unread prompt tokens gets no further run.
    """

    rate: float
    max_unread: float


@dataclasses.dataclass(slots=True, frozen=True)
class Admit:
    """The run may be sent to any of these engines.

    :param engines: engine ids; the allocator puts the best one first.
    :param backup_fits: the pool has enough memory for a backup of the run as well.
    """

    engines: tuple[str, ...]
    backup_fits: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Queueing:
    """Why a run stands where it does in the queue.

    :param workspace_share: tokens by which its workspace is ahead of the others.
    :param returning: its caller was refused before, and comes again.
    """

    workspace_share: float = 0.0
    returning: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """No engine has room for the run, or the runs ahead need that room.

    :param seconds: delay until the run asks again.
    :param ahead: number of runs ahead in the queue.
    :param expected: estimated seconds until an engine has room; ``None`` if unknown.
    :param queueing: how the run stands among those of its rank, if that is known.
    """

    seconds: float
    ahead: int
    expected: float | None
    queueing: Queueing | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """The run cannot begin in time.

    :param ahead: number of runs ahead in the queue.
    :param expected: estimated seconds until an engine has room.
    :param booked: seconds until the return that was booked for the caller, if any.
    :param queueing: how the run stands among those of its rank, if that is known.
    """

    ahead: int
    expected: float
    booked: float | None = None
    queueing: Queueing | None = None


Verdict = Admit | Wait | Refuse


def decide(
    candidate: Candidate,
    *,
    room_by_engine: t.Mapping[str, Room],
    limits: ReadLimits,
    ahead: t.Sequence[Candidate],
    releases: t.Iterable[Release],
    now: float,
    start: t.Callable[[t.Sequence[Candidate]], float] | None = None,
    keep: bool = False,
    promised: t.Sequence[Candidate] = (),
) -> Verdict:
    """Decide whether a run is admitted, queued or rejected.

    :param room_by_engine: room of the engines that the run may be sent to.
    :param ahead: runs ahead in the queue, the next one first.
    :param releases: memory that current runs of the pool are expected to free.
    :param now: time on the clock of the queue.
    :param start: forecast of the seconds until the run begins, given the runs ahead;
        infinite if that is too late.  Without it the wait for the runs ahead counts.
    :param keep: reject the run only when its latest useful start is over, not because
        its forecast became worse while it was queued.
    :param promised: runs that have not come yet, for which the run leaves room.
    """
    left = _remaining_room([*ahead, *promised], room_by_engine, limits)
    found = tuple(
        name
        for name, room in left.items()
        if room.free >= candidate.need and room.unread <= limits.max_unread
    )
    if found:
        return Admit(found)
    expected = _expected_wait(candidate, room_by_engine, limits, ahead, releases)
    if start is not None:
        expected = start(ahead)
    left_to_wait = 0.0 if keep else expected or 0.0
    if now + left_to_wait > candidate.start_deadline:
        return Refuse(len(ahead), expected or MAX_RETRY_SECONDS)
    return Wait(_retry_seconds(expected), len(ahead), expected)


def _expected_wait(
    candidate: Candidate,
    room_by_engine: t.Mapping[str, Room],
    limits: ReadLimits,
    ahead: t.Sequence[Candidate],
    releases: t.Iterable[Release],
) -> float | None:
    """Estimate the seconds until an engine has room; ``None`` if unknown."""
    rooms = room_by_engine.values()
    # Free memory of engines that cannot fit the whole run does not count.
    free = sum(room.free for room in rooms if room.free >= candidate.need)
    wanted = total_need(ahead) + candidate.need - free
    freed = seconds_until_freed(wanted, releases) if wanted > 0.0 else 0.0
    if freed is None:
        return None
    unread = sum(other.prompt for other in ahead)
    unread += sum(room.unread for room in rooms)
    engines = max(1, len(rooms))
    to_read = max(0.0, unread / engines - limits.max_unread) / limits.rate
    return max(freed, to_read)


def _remaining_room(
    ahead: t.Iterable[Candidate],
    room_by_engine: t.Mapping[str, Room],
    limits: ReadLimits,
) -> dict[str, Room]:
    """Room that is left on each engine after the runs ahead are placed.

    A run that fits on no engine reserves the one with the most free memory until it
    fits.  Without this, small runs would keep taking the memory that a large run waits
    for.  Only one engine is reserved, as reserving all would block the pool for one
    large run: one of 33,000 tokens would stop five engines of 34,000 for seconds.
    """
    left = dict(room_by_engine)
    for other in ahead:
        reads = [
            name for name, room in left.items() if room.unread <= limits.max_unread
        ]
        if not reads:
            break
        name = max(reads, key=lambda engine: left[engine].free)
        room = left[name]
        left[name] = Room(max(0.0, room.free - other.need), room.unread + other.prompt)
    return left


def _retry_seconds(expected: float | None) -> float:
    if expected is None:
        return DEFAULT_RETRY_SECONDS
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, RETRY_FRACTION * expected))
