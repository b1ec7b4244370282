"""The admission queue: runs that wait for room in one pool of engines.

Without a queue, nodes would poll the engines in turn, and freed memory would go to
whichever run is tried next: most often to less urgent ones, which need less.
"""

import dataclasses
import math
import typing as t

from bankrack.decisions.fairshares import FairShares

PASS_SLACK_SECONDS = 2.0
"""A run with more time than this lets runs of a worse rank pass that have less.

Several rounds of questions remain to it afterwards, and the time to read its prompt is
not part of its slack."""
TURN_CACHE_SECONDS = 0.05
"""Turns of workspaces are computed again after this time, as each queued run asks
several times per second."""
MAX_PASSES = 50
"""Runs on time that may pass the late ones in a row, so that those who have waited
longest are not starved; a late run takes at most one place of this many."""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A run that waits for room on an engine.

    :param run: id of the run.
    :param rank: rank of its workspace, then of its route; the lowest is served first.
    :param need: memory that the run is expected to need, in tokens.
    :param due: latest start that meets the target latency, in seconds on the queue's
        clock.
    :param start_deadline: latest useful start, on the same clock.
    :param prompt: prompt tokens that an engine must read before the run begins.
    :param seconds: expected time from its placement to its end.
    :param workspace: digest of the caller's workspace; empty if unknown.
    :param returning: the caller was refused before, and comes again.
    """

    run: str
    rank: tuple[int, int]
    need: float
    due: float
    start_deadline: float
    prompt: float = 0.0
    seconds: float = 0.0
    workspace: str = ""
    returning: bool = False


@dataclasses.dataclass(slots=True)
class _Entry:
    candidate: Candidate
    until: float


class AdmissionQueue:
    """Queued runs; an entry expires unless the run asks again in time."""

    __slots__ = ("_cached_turns", "_entry_by_run", "_passes")

    def __init__(self) -> None:
        self._entry_by_run: dict[str, _Entry] = {}
        self._passes = 0
        self._cached_turns: tuple[float, dict[str, int]] = (-math.inf, {})

    def __len__(self) -> int:
        return len(self._entry_by_run)

    def __contains__(self, run: str) -> bool:
        return run in self._entry_by_run

    def on_time(self, rank: tuple[int, int], now: float) -> list[Candidate]:
        """Queued runs of this or a better rank that can still begin on time."""
        found = [entry.candidate for entry in self._entry_by_run.values()]
        return sorted(
            (c for c in found if c.rank <= rank and now <= c.due),
            key=lambda c: (c.rank, c.due),
        )

    def waiting(self, rank: tuple[int, int]) -> set[str]:
        """Workspaces whose runs of a rank wait."""
        return {
            entry.candidate.workspace
            for entry in self._entry_by_run.values()
            if entry.candidate.rank == rank
        }

    def enqueue(self, candidate: Candidate, *, until: float) -> None:
        """Add a run or renew its entry, which expires at ``until``."""
        self._entry_by_run[candidate.run] = _Entry(candidate, until)

    def start_deadline(self, run: str, start_deadline: float) -> float:
        """The latest useful start of a run: the queued one or this, if earlier."""
        entry = self._entry_by_run.get(run)
        return (
            start_deadline
            if entry is None
            else min(start_deadline, entry.candidate.start_deadline)
        )

    def remove(self, run: str) -> None:
        """Remove a run if it is queued."""
        self._entry_by_run.pop(run, None)

    def note_admitted(self, candidate: Candidate, now: float) -> None:
        """Count an admitted run that passes the late ones in the queue."""
        if now > candidate.due:
            self._passes = 0
        elif any(now > e.candidate.due for e in self._entry_by_run.values()):
            self._passes += 1

    def ahead(
        self,
        candidate: Candidate,
        now: float,
        *,
        shares: FairShares | None = None,
        quantum: float = 1.0,
    ) -> list[Candidate]:
        """Queued runs that go before this one, the next one first.

        :param shares: use of the pool by workspaces; by due time alone without it.
        :param quantum: tokens of use within which due time decides between workspaces.
        """
        self._expire(now)
        waiting = [
            entry.candidate
            for run, entry in self._entry_by_run.items()
            if run != candidate.run
        ]
        if not waiting:
            return []
        waiting.append(candidate)
        turn_by_run: dict[str, int] = {}
        if shares is not None:
            turn_by_run = self._turns(candidate, waiting, now, shares, quantum)
        longest_late = None
        if self._passes >= MAX_PASSES:
            late = [other for other in waiting if now > other.due]
            longest_late = min(late, key=lambda other: other.due, default=None)

        def key(other: Candidate) -> tuple[t.Any, ...]:
            first = other is not longest_late
            return first, *_key(other, now, turn_by_run.get(other.run, 0))

        own = key(candidate)
        keyed = [(key(other), other) for other in waiting if other is not candidate]
        keyed = [pair for pair in keyed if pair[0] < own]
        keyed.sort(key=lambda pair: pair[0])
        return [other for _, other in keyed]

    def _turns(
        self,
        candidate: Candidate,
        waiting: t.Iterable[Candidate],
        now: float,
        shares: FairShares,
        quantum: float,
    ) -> dict[str, int]:
        """The turns of the waiting runs, computed anew for a new one."""
        computed, found = self._cached_turns
        if now >= computed + TURN_CACHE_SECONDS or candidate.run not in found:
            found = _turns(waiting, shares, quantum)
            self._cached_turns = now, found
        return found

    def _expire(self, now: float) -> None:
        for run, entry in list(self._entry_by_run.items()):
            if entry.until < now:
                del self._entry_by_run[run]


def _key(candidate: Candidate, now: float, turn: int) -> tuple[t.Any, ...]:
    """Sort key: runs that can still begin on time first, then by rank and due time.

    A run that is already late gains nothing from beginning a little sooner.  With the
    oldest runs first, a queue longer than the target latency would make every run late.
    With late runs of a better rank first, a pool at 2.5 times its load served 435 short
    runs in time instead of 545, and no more runs of the better rank.

    First attempts go before returns of their rank: an answer on time at once is worth
    more to a caller than one after a refusal.  Where a pool is crowded for long, it
    would else be spent on returns, and all callers be refused first.
    """
    late = now > candidate.due
    is_copy = candidate.rank[1] < 0
    can_wait = candidate.due - now > PASS_SLACK_SECONDS and not is_copy
    return (
        late,
        can_wait,
        candidate.rank,
        candidate.returning,
        turn,
        candidate.due,
        candidate.run,
    )


def _turns(
    waiting: t.Iterable[Candidate], shares: FairShares, quantum: float
) -> dict[str, int]:
    """The turn of each run among those of its rank, by the use of its workspace.

    The runs of a workspace count one after the other, the earliest due one first.
    """
    use_by_workspace: dict[tuple[t.Any, str], float] = {}
    turn_by_run = {}
    in_order = sorted(waiting, key=lambda one: (one.returning, one.due, one.run))
    for other in in_order:
        key = other.rank, other.workspace
        use = use_by_workspace.get(key)
        if use is None:
            use = shares.debt(*key)
        turn_by_run[other.run] = int(use / quantum)
        if other.workspace:
            use += other.need
        use_by_workspace[key] = use
    return turn_by_run


def total_need(candidates: t.Iterable[Candidate]) -> float:
    """Memory that the runs are expected to need together, in tokens."""
    return sum(candidate.need for candidate in candidates)
