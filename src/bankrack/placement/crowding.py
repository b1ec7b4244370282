"""A crowded pool: whose runs wait, when a run can begin, and when callers return.

The state is the pool owner's alone and is lost with it: a new owner starts with equal
shares, without bookings, and with the runs that ask it again.
"""

import dataclasses
import math
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Queueing
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.admissionqueue import AdmissionQueue
from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.admissionrates import AdmissionRates
from bankrack.decisions.calendar import ARRIVAL_WINDOW_SECONDS
from bankrack.decisions.calendar import Calendar
from bankrack.decisions.calendar import forecast_start
from bankrack.decisions.calendar import MAX_RANKS
from bankrack.decisions.calendar import Outlook
from bankrack.decisions.calendar import Rank
from bankrack.decisions.calendar import RecentArrivals
from bankrack.decisions.calendar import Stay
from bankrack.decisions.fairshares import FairShares
from bankrack.decisions.retryafter import MAX_WAIT_FRACTION
from bankrack.decisions.retryafter import MIN_RETRY_AFTER_SECONDS
from bankrack.decisions.retryafter import retry_after_seconds
from bankrack.utils import stable_digest

CROWDED_SECONDS = 5.0
"""A pool counts as crowded this long after a run had to wait or was refused."""
LONG_RUN_SECONDS = 20.0
"""A long run that was admitted longer ago has usually ended."""
MAX_DESCRIBED = 20
"""Limit on the workspaces in the state dump."""


class Crowding:
    """What the owner of a pool keeps about a time in which runs wait.

    :param queue: admission queue of the pool.
    :ivar refused: number of refused runs.
    """

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        self.shares = FairShares()
        self.calendar = Calendar()
        self.rates = AdmissionRates()
        self.recent = RecentArrivals()
        self.refused = 0
        self._long_at_by_workspace_rank: dict[int, float] = {}
        self._since = -math.inf
        self._until = -math.inf

    def seconds(self, now: float) -> float:
        """Seconds for which runs have had to wait or were refused."""
        return now - self._since if now <= self._until else 0.0

    def displaces(self, rank: Rank, now: float) -> bool:
        """Whether engines that run out of memory would preempt others for this run.

        They preempt the newest of the runs whose workspace has the worst rank: a short
        run itself, unless long ones of less urgent workspaces run beside it.
        """
        if now > self._until:
            return False
        return any(
            worse > rank[0] and at > now - LONG_RUN_SECONDS
            for worse, at in self._long_at_by_workspace_rank.items()
        )

    def note_decision(
        self, candidate: Candidate, verdict: Verdict, now: float, *, is_first: bool
    ) -> None:
        """Record a decision.

        :param is_first: whether the run asked for the first time.
        """
        if is_first:
            self.recent.note(candidate.rank, _stay(candidate), now)
        if isinstance(verdict, Admit):
            self.rates.note_admitted(candidate, now)
        else:
            if isinstance(verdict, Wait):
                self.rates.note_wait(now)
            if now > self._until:
                self._since = now
            self._until = now + CROWDED_SECONDS

    def note_long(self, rank: Rank, now: float) -> None:
        """Record that a long run was admitted."""
        known = self._long_at_by_workspace_rank
        if rank[0] in known or len(known) < MAX_RANKS:
            known[rank[0]] = now

    def promised(
        self, candidate: Candidate, caller: str, now: float
    ) -> list[Candidate]:
        """Returns for which a caller that comes before its time leaves room.

        Otherwise callers that return early and often would take each place that is
        freed, and those who return when told would find none.
        """
        if not caller:
            return []
        return [
            dataclasses.replace(
                candidate, need=booking.stay.need, prompt=booking.stay.prompt
            )
            for booking in self.calendar.promised_before(caller, now)
        ]

    def charge(
        self, candidate: Candidate, tokens: float, now: float, *, caller: str
    ) -> None:
        """Charge an admitted run to its workspace, and close its booking."""
        self.queue.note_admitted(candidate, now)
        if caller:
            self.calendar.close(caller)
        if candidate.workspace:
            self.shares.charge(
                candidate.rank,
                candidate.workspace,
                tokens,
                waiting=self.queue.waiting(candidate.rank),
            )

    def explain(
        self,
        verdict: Verdict,
        forecast: "Forecast",
        *,
        caller: str,
        left: float,
    ) -> Verdict:
        """Add how a run stands in the queue, and book the return of a refused one.

        :param left: seconds until its final answer is due.
        """
        candidate = forecast.candidate
        debt = self.shares.debt(candidate.rank, candidate.workspace)
        queueing = Queueing(debt, candidate.returning)
        match verdict:
            case Wait():
                return dataclasses.replace(verdict, queueing=queueing)
            case Refuse():
                self.refused += 1
                booked = self._book(caller, forecast, left)
                expected = max(0.0, min(verdict.expected, left))
                return Refuse(verdict.ahead, expected, booked, queueing)
        return verdict

    def _book(self, caller: str, forecast: "Forecast", left: float) -> float | None:
        """Book the return of a refused caller; seconds until then, if it is booked.

        A caller that comes before its time is told the same time again.  Where no room
        is expected within the time that callers wait, they are told the end of it.
        """
        now, candidate = forecast.now, forecast.candidate
        known = self.calendar.find(caller, now)
        if known is not None and known.run is None and known.at > now:
            return known.at - now
        seconds = forecast.return_start(MAX_WAIT_FRACTION * left)
        has_room = math.isfinite(seconds)
        if not has_room:
            draw = stable_digest(caller)[0] / 256
            seconds = retry_after_seconds(left, left=left, draw=draw)
        seconds = max(seconds, MIN_RETRY_AFTER_SECONDS)
        if not math.isfinite(seconds):
            return None
        stay = _stay(candidate)
        if not self.calendar.book(
            caller, candidate.rank, stay, now + seconds, now=now, has_room=has_room
        ):
            return None
        return seconds

    def describe(self, name_by_digest: t.Mapping[str, str]) -> dict[str, t.Any]:
        """Return the part of the state dump as JSON-serializable data."""
        ahead = sorted(self.shares.debts().items(), key=lambda item: -item[1])
        return {
            "waiting": len(self.queue),
            "refused": self.refused,
            "shares": [
                {
                    "rank": list(rank),
                    "workspace": name_by_digest.get(workspace, workspace),
                    "tokens_ahead": round(debt),
                }
                for (rank, workspace), debt in ahead[:MAX_DESCRIBED]
            ],
            "calendar": {
                "booked": len(self.calendar),
                "matched": self.calendar.matched,
                "expired": self.calendar.expired,
            },
        }


class Forecast:
    """When a run would begin, from what the pool's owner knows.

    :param pool: room for the run.
    """

    __slots__ = ("_crowding", "_pool", "candidate", "now")

    def __init__(
        self, crowding: Crowding, candidate: Candidate, pool: Outlook, now: float
    ) -> None:
        self._crowding = crowding
        self._pool = pool
        self.candidate = candidate
        self.now = now

    def start(self, ahead: t.Sequence[Candidate]) -> float:
        """Seconds until the run begins behind the queue; infinite if too late.

        A first attempt that would begin late is refused at once: its caller loses less
        by another attempt that is served on time than by an answer that is late.  A
        return has no further attempt, and waits for a late answer where runs that are
        late are served at all: all that arrive go before these.
        """
        own, returning = self.candidate.rank, self.candidate.returning
        on_time = self.candidate.due - self.now
        if on_time > 0.0:
            seconds = self._start(
                ahead, on_time, lambda rank: rank < own, behind_returns=returning
            )
            if not returning or math.isfinite(seconds):
                return seconds
        last = self.candidate.start_deadline - self.now
        arriving = self._crowding.recent.need_per_second(self.now)
        return self._start(
            ahead, last, lambda rank: True, behind_returns=True, arriving=arriving
        )

    def return_start(self, horizon: float) -> float:
        """Seconds until the run would begin if its caller returned just then."""
        own = self.candidate.rank
        ahead = self._crowding.queue.on_time(own, self.now)
        return self._start(ahead, horizon, lambda rank: rank < own, behind_returns=True)

    def _start(
        self,
        ahead: t.Sequence[Candidate],
        horizon: float,
        goes_first: t.Callable[[Rank], bool],
        *,
        behind_returns: bool,
        arriving: float | None = None,
    ) -> float:
        """Seconds until the run begins; infinite if beyond the horizon.

        :param goes_first: whether runs of a rank that arrive meanwhile go first.
        :param behind_returns: booked returns of its own rank go first as well.
        :param arriving: memory per second of the runs that arrive, if all go first.
        """
        crowding, now, rank = self._crowding, self.now, self.candidate.rank
        queued = crowding.rates.seconds_until_first(
            self.candidate, ahead, now, arriving=arriving
        )
        if queued > horizon:
            return math.inf
        # A burst is expected to last as long again as it has lasted.
        lasting = max(ARRIVAL_WINDOW_SECONDS, crowding.seconds(now))
        seconds = forecast_start(
            _stay(self.candidate),
            self._pool,
            ahead=[_stay(other) for other in ahead],
            arrivals=[
                *crowding.recent.expected(
                    now, min(horizon, lasting), goes_first=goes_first
                ),
                *crowding.calendar.arrivals(
                    now,
                    goes_first=lambda r: r < rank or (behind_returns and r == rank),
                ),
            ],
            horizon=horizon,
        )
        return max(queued, seconds)


def _stay(candidate: Candidate) -> Stay:
    return Stay(candidate.need, candidate.prompt, candidate.seconds)
