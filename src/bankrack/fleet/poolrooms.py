"""Places the runs of services with several pools, and remembers where each run is.

See docs/design/pools-and-halls.md.
"""

import asyncio
import collections
import dataclasses
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.pooloverflow import FullPool
from bankrack.decisions.pooloverflow import next_question
from bankrack.decisions.pooloverflow import Outcome
from bankrack.decisions.pooloverflow import settle
from bankrack.decisions.pooloverflow import Size
from bankrack.serving.assignment import Assignment
from bankrack.serving.pools import candidate_pools
from bankrack.serving.pools import pool_of

MAX_RUNS = 20_000
"""Limit on the runs whose pool is remembered, far above what a node can relay."""
MAX_FULL_POOLS = 1_024
"""Limit on the pools whose last verdict is remembered."""
MAX_DESCRIBED = 32
"""Limit on the pools in the state dump."""

_logger = logging.getLogger(__name__)


Ask = t.Callable[[int, bool], t.Awaitable[Verdict | None]]
"""Has the owner of a pool decide on a run; ``None`` if it does not respond.

The second argument tells whether a run that has to wait is queued."""


@dataclasses.dataclass(slots=True)
class _Place:
    """Where a run is placed or queued.

    :ivar moved: it changed from one queue to the other.
    :ivar waited: it was told to wait.
    """

    pool: int
    moved: bool = False
    waited: bool = False


class PoolRooms:
    """The pools of this node's runs, and what the owners last said of their room.

    :param leave: tells the owner of a pool that a run is no longer placed there.
    :param count: called with the outcome of each question to a second pool.
    """

    def __init__(
        self,
        leave: t.Callable[[Assignment, int], None],
        *,
        count: t.Callable[[str], None] = lambda outcome: None,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._leave = leave
        self._count = count
        self._clock = clock
        self._place_by_run: collections.OrderedDict[str, _Place] = (
            collections.OrderedDict()
        )
        self._full_by_pool: dict[tuple[str, int], FullPool] = {}

    def pool(self, work: Assignment, pools: int) -> int:
        """The pool to which updates on a run are sent."""
        place = self._place_by_run.get(work.job.id)
        return pool_of(work.job.id, pools) if place is None else place.pool

    def forget(self, work: Assignment) -> None:
        """Forget the pool of a run that has ended."""
        self._place_by_run.pop(work.job.id, None)

    async def decide(self, work: Assignment, pools: int, ask: Ask) -> Verdict | None:
        """Have the owners of a run's pools decide on it, at most two of them."""
        if pools == 1:
            self._move(work, self._place(work, 0), 0)
            return await ask(0, True)
        own, other = candidate_pools(work.job.id, pools)
        place = self._place(work, own)
        first, second = (other, own) if place.pool == other else (own, other)
        size = Size(work.job.demand.expected, (work.priority, work.route.priority))
        verdict = await ask(first, True)
        self._note(work, first, size, verdict)
        question = next_question(
            verdict,
            size=size,
            second=self._full_by_pool.get((work.service.name, second)),
            waited=place.waited,
            now=self._clock(),
        )
        outcome = Outcome(verdict, second=False)
        if question is not None:
            answer = await self._ask_second(work, second, question.queue, ask)
            self._note(work, second, size, answer)
            self._log(work, first, second, verdict, answer)
            outcome = settle(
                verdict, answer, may_move=not place.moved, may_queue=question.queue
            )
            if not outcome.second and isinstance(answer, None | Admit):
                # It may have placed the run, on engines that are closed to this node.
                self._leave(work, second)
        self._move(work, place, first)
        match outcome.verdict:
            case None | Admit(engines=()):
                # It will be placed by reports, in the pool of its digest.
                self._move(work, place, own)
            case _ if outcome.second:
                self._move(work, place, second)
        waits = isinstance(outcome.verdict, Wait)
        place.moved |= outcome.second and waits
        place.waited |= waits
        return outcome.verdict

    def _place(self, work: Assignment, pool: int) -> _Place:
        """Where the run is; in this pool if it is not known yet."""
        place = self._place_by_run.setdefault(work.job.id, _Place(pool))
        if len(self._place_by_run) > MAX_RUNS:
            self._place_by_run.popitem(last=False)
        return place

    def _move(self, work: Assignment, place: _Place, pool: int) -> None:
        """Record a run's pool; the owner of the last one is told that it left."""
        if place.pool != pool:
            self._leave(work, place.pool)
            place.pool = pool

    async def _ask_second(
        self, work: Assignment, pool: int, queue: bool, ask: Ask
    ) -> Verdict | None:
        try:
            return await ask(pool, queue)
        except asyncio.CancelledError:
            # The caller has left, and the owner may have admitted the run.
            self._leave(work, pool)
            raise

    def _note(
        self, work: Assignment, pool: int, size: Size, verdict: Verdict | None
    ) -> None:
        """Remember what an owner said of its pool."""
        key = work.service.name, pool
        match verdict:
            case Admit(engines) if engines:
                self._full_by_pool.pop(key, None)
            case Wait(expected=expected) | Refuse(expected=expected):
                self._full_by_pool[key] = FullPool(size, expected, self._clock())
        if len(self._full_by_pool) > MAX_FULL_POOLS:
            del self._full_by_pool[next(iter(self._full_by_pool))]

    def _log(
        self,
        work: Assignment,
        first: int,
        second: int,
        verdict: Verdict | None,
        other: Verdict | None,
    ) -> None:
        outcome = _name(other)
        self._count(outcome)
        expected = verdict.expected if isinstance(verdict, Wait | Refuse) else None
        logs.event(
            _logger,
            "pool_overflow",
            request=work.job.id,
            first=first,
            second=second,
            expected=expected,
            verdict=outcome,
        )

    def describe(self) -> list[dict[str, t.Any]]:
        """Return the pools that had no room, the latest first, for the state dump."""
        now = self._clock()
        latest = sorted(self._full_by_pool.items(), key=lambda item: -item[1].at)
        return [
            {
                "service": service,
                "pool": pool,
                "tokens": full.size.tokens,
                "expected": full.expected,
                "age": now - full.at,
            }
            for (service, pool), full in latest[:MAX_DESCRIBED]
        ]


def _name(verdict: Verdict | None) -> str:
    """The name of a verdict in logs and metrics."""
    match verdict:
        case Admit(engines):
            return "admit" if engines else "no_engine"
        case Wait():
            return "wait"
        case Refuse():
            return "refuse"
        case None:
            return "no_answer"
