"""Where the runs of one pool begin, and in which order: its ledger and its line."""

import dataclasses
import random
import time
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import decide
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.cold import quota_of
from bankrack.decisions.line import Candidate
from bankrack.decisions.line import Line
from bankrack.serving.job import Demand
from bankrack.serving.ledger import Ledger
from bankrack.serving.upstreams import Upstream

LATE_ASK_SECONDS = 0.3
"""A run that waits and asks so much later than it was told has gone elsewhere."""
BEGIN_PART = 0.5
"""Part of its time within which a run must begin to be of use."""


@dataclasses.dataclass(slots=True, frozen=True)
class Wish:
    """A run that wants a place.

    :param memory: tokens that an engine holds where no report tells.
    :param hall: where the node is that asks.
    :param rank: of the workspace, then of the route; the smallest is served first.
    :param due: seconds until which it begins in time; below 0 when it is late.
    :param left: seconds until its final answer is due.
    :param silence_left: seconds until its caller gives it up if nothing comes.
    :param cold_rate: runs a second that may be placed on an engine while it is cold; 0
        where there is no bound.
    """

    run: str
    demand: Demand
    memory: int
    hall: str
    rank: tuple[int, int]
    due: float
    left: float
    silence_left: float
    cold_rate: float = 0.0


class Allocator:
    """Decides on the runs of one pool."""

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.ledger = Ledger(clock=clock, rng=rng)
        self.line = Line()
        self._clock = clock
        self._grants_by_id: dict[str, list[float]] = {}

    def decide(self, engines: t.Sequence[Upstream], wish: Wish) -> Verdict:
        """Decide on a run; an admitted one counts as placed on the first engine.

        :param engines: those that it may go to; there is at least one.
        """
        now = self._clock()
        ledger, line = self.ledger, self.line
        occupancy = ledger.occupancy
        ledger.forget()
        ledger.withdraw(wish.run)
        candidate = Candidate(
            run=wish.run,
            rank=wish.rank,
            need=occupancy.need(wish.demand, memory=wish.memory, seconds=wish.left),
            due=now + wish.due,
            ends=now + self._seconds_to_begin(wish),
        )
        free_by_engine = occupancy.free_by_engine(
            engines,
            memory=wish.memory,
            # Late runs may try what is suspected: it may be the way to it, not the
            # engine, that failed, and the engine itself says whether it has room.
            suspects=wish.due < 0.0,
        )
        cold_ids = {e.id for e in engines if wish.cold_rate > 0.0 and e.cold(now)}
        for name in cold_ids:
            if not self._may_grant(name, wish.cold_rate, now):
                free_by_engine[name] = 0.0
        verdict = decide(
            candidate,
            free_by_engine=free_by_engine,
            ahead=line.ahead(candidate, now),
            releases=occupancy.releases(engines),
            now=now,
        )
        match verdict:
            case Admit(names):
                line.leave(wish.run)
                first, *others = self._order(engines, wish, names)
                ledger.place(wish.run, first, wish.demand)
                if first in cold_ids:
                    self._grants_by_id.setdefault(first, []).append(now)
                # A cold engine that it tried next would not be counted here.
                return Admit((first, *(i for i in others if i not in cold_ids)))
            case Wait(seconds):
                line.wait(candidate, until=now + seconds + LATE_ASK_SECONDS)
            case Refuse():
                line.leave(wish.run)
        return verdict

    def _may_grant(self, engine: str, rate: float, now: float) -> bool:
        """Whether a cold engine may get one more run of this pool."""
        quota = quota_of(rate)
        last = now - quota.seconds
        counted = [at for at in self._grants_by_id.pop(engine, []) if at > last]
        if counted:
            self._grants_by_id[engine] = counted
        return len(counted) < quota.count

    def _seconds_to_begin(self, wish: Wish) -> float:
        """Seconds within which a run must get its place to be of any use."""
        reading = self.ledger.read_seconds(wish.demand)
        return min(BEGIN_PART * wish.left, wish.silence_left - reading)

    def _order(
        self, engines: t.Sequence[Upstream], wish: Wish, names: t.Collection[str]
    ) -> tuple[str, ...]:
        """Order engines that have room, the one that begins the run soonest first."""
        ordered = self.ledger.order(
            engines, wish.demand, memory=wish.memory, hall=wish.hall
        )
        return tuple(engine.id for engine in ordered if engine.id in names)
