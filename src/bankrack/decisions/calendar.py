"""The calendar of a pool's room: when a run can begin, and when a caller should return.

Answers bursts that ask for more than a pool holds.  Estimated for each run by itself,
the wait leaves out those who were told to come back and those who will arrive
meanwhile: runs wait in vain before they are refused, and callers return together to a
full pool.

A forecast plays what is known of the pool forwards: the memory that its runs free, the
prompts that its engines still have to read, the queue, the returns that were booked,
and arrivals like the latest ones.  A refusal books the time at which the caller's run
would begin, so that the next refusal is given a later one.
"""

import collections
import dataclasses
import heapq
import math
import typing as t

from bankrack.decisions.admission import ReadLimits
from bankrack.decisions.admission import Room
from bankrack.decisions.memory import Release

Rank = tuple[int, int]

ARRIVAL_WINDOW_SECONDS = 2.0
"""Arrivals of this time are expected to repeat; half of the shortest usual burst."""
SLOT_SECONDS = 0.125
"""Expected arrivals and booked returns are summed up in slots of this length, which
bounds the work of a forecast; a power of two, as slots must not begin after their
bookings by rounding."""
MAX_RANKS = 64
"""Limit on the ranks of expected arrivals; routes and workspaces have a few."""
EARLY_SECONDS = 0.1
"""A caller that returns less than this before its time is on time: clocks and links
differ by some milliseconds, and the wait in the queue is of this order."""
RETURN_GRACE_SECONDS = 1.5
"""A booking expires this long after its time: a new connection may take a second."""
CLAIMED_SECONDS = 20.0
"""The same for a return that waits; its node may have ended meanwhile."""
EXPIRE_INTERVAL_SECONDS = 0.1
"""Bookings are searched for expired ones this often, as each waiting run asks several
times per second."""
MAX_PROMISED = 64
"""Limit on the bookings for which one early return leaves room; more free places than
this are enough for all."""
MAX_BOOKINGS = 4000
"""Limit on bookings; beyond it callers are told a time that is not booked."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stay:
    """A run's use of a pool.

    :param need: memory in tokens.
    :param prompt: prompt tokens that an engine must read before the run begins.
    :param seconds: time from the placement to the end.
    """

    need: float
    prompt: float
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A stay that is expected to ask for room.

    :param seconds: time from now.
    """

    seconds: float
    stay: Stay


@dataclasses.dataclass(slots=True, frozen=True)
class Outlook:
    """What is known of a pool's room.

    :param free: free memory of the engines that could take the run, in tokens.
    :param releases: memory that current runs will free.
    :param unread: prompt tokens that the engines still have to read.
    :param read_rate: prompt tokens per second that all engines read together.
    :param read_ahead: an engine with unread prompts for longer gets no further run, in
        seconds.
    """

    free: float
    releases: t.Sequence[Release]
    unread: float
    read_rate: float
    read_ahead: float

    @classmethod
    def of(
        cls,
        room_by_engine: t.Mapping[str, Room],
        need: float,
        limits: ReadLimits,
        releases: t.Sequence[Release],
    ) -> t.Self:
        """The outlook for a run that needs so many tokens of memory."""
        rooms = room_by_engine.values()
        return cls(
            # Free memory of engines that cannot fit the whole run does not count.
            free=sum(room.free for room in rooms if room.free >= need),
            releases=releases,
            unread=sum(room.unread for room in rooms),
            read_rate=max(1, len(rooms)) * limits.rate,
            read_ahead=limits.max_unread / limits.rate,
        )


def forecast_start(
    stay: Stay,
    outlook: Outlook,
    *,
    ahead: t.Iterable[Stay],
    arrivals: t.Iterable[Arrival],
    horizon: float,
) -> float:
    """Estimate the seconds until a run begins; infinite if beyond the horizon.

    :param ahead: runs that go before it, the next one first.
    :param arrivals: runs that go before it if they come before it begins.
    """
    pool = _Pool(outlook)
    queue = collections.deque(pool.bounded(other) for other in ahead)
    coming = collections.deque(sorted(arrivals, key=lambda one: one.seconds))
    while pool.now <= horizon:
        while coming and coming[0].seconds <= pool.now:
            queue.append(pool.bounded(coming.popleft().stay))
        head = queue[0] if queue else stay
        ready_at = pool.ready_at(head)
        if ready_at <= pool.now:
            if not queue:
                return pool.now
            pool.place(queue.popleft())
            continue
        following = min(ready_at, coming[0].seconds if coming else math.inf)
        if math.isinf(following):
            break
        pool.advance(following)
    return math.inf


class _Pool:
    """All engines of a pool as one, in the time of a forecast."""

    __slots__ = ("_ends", "_free", "_outlook", "_read_at", "_total", "now")

    def __init__(self, outlook: Outlook) -> None:
        self.now = 0.0
        self._outlook = outlook
        self._free = outlook.free
        self._read_at = outlook.unread / outlook.read_rate
        self._ends = [(one.seconds, one.tokens) for one in outlook.releases]
        heapq.heapify(self._ends)
        self._total = self._free + sum(tokens for _, tokens in self._ends)

    def bounded(self, stay: Stay) -> Stay:
        """A stay that fits into the pool once all of its runs have ended.

        One stay may stand for all runs of a moment, and must not block those behind it
        for good.
        """
        return dataclasses.replace(stay, need=min(stay.need, self._total))

    def ready_at(self, stay: Stay) -> float:
        """Time of the next event that may make room for a run; now if there is room."""
        if self._free < stay.need:
            return max(self._ends[0][0], self.now + 1e-6) if self._ends else math.inf
        return max(self.now, self._read_at - self._outlook.read_ahead)

    def advance(self, moment: float) -> None:
        """Let time pass; runs end meanwhile."""
        self.now = max(self.now, moment)
        while self._ends and self._ends[0][0] <= self.now:
            self._free += heapq.heappop(self._ends)[1]

    def place(self, stay: Stay) -> None:
        """Let a run begin now."""
        self._free -= stay.need
        read_seconds = stay.prompt / self._outlook.read_rate
        self._read_at = max(self._read_at, self.now) + read_seconds
        heapq.heappush(self._ends, (self.now + stay.seconds, stay.need))


@dataclasses.dataclass(slots=True)
class _Total:
    """Sums over the runs of one rank that arrived within one slot."""

    runs: int = 0
    need: float = 0.0
    prompt: float = 0.0
    seconds: float = 0.0

    def add(self, stay: Stay) -> None:
        self.runs += 1
        self.need += stay.need
        self.prompt += stay.prompt
        self.seconds += stay.seconds

    def remove(self, stay: Stay) -> None:
        self.runs -= 1
        self.need -= stay.need
        self.prompt -= stay.prompt
        self.seconds -= stay.seconds

    def stay(self) -> Stay:
        """One stay that uses as much as all of these, for their mean time."""
        return Stay(self.need, self.prompt, self.seconds / self.runs)


class RecentArrivals:
    """Runs that asked for room for the first time within the window."""

    __slots__ = ("_totals_by_slot",)

    def __init__(self) -> None:
        self._totals_by_slot: dict[int, dict[Rank, _Total]] = {}

    def note(self, rank: Rank, stay: Stay, now: float) -> None:
        """Record a run that asks for the first time."""
        slot = int(now / SLOT_SECONDS)
        totals = self._totals_by_slot.get(slot)
        if totals is None:
            oldest = now - ARRIVAL_WINDOW_SECONDS
            for old in [s for s in self._totals_by_slot if s * SLOT_SECONDS < oldest]:
                del self._totals_by_slot[old]
            totals = self._totals_by_slot[slot] = {}
        if rank in totals or len(totals) < MAX_RANKS:
            totals.setdefault(rank, _Total()).add(stay)

    def need_per_second(self, now: float) -> float:
        """Memory that the runs of the window ask for, in tokens per second."""
        oldest = now - ARRIVAL_WINDOW_SECONDS
        need = sum(
            total.need
            for slot, totals in self._totals_by_slot.items()
            if slot * SLOT_SECONDS >= oldest
            for total in totals.values()
        )
        return need / ARRIVAL_WINDOW_SECONDS

    def expected(
        self, now: float, horizon: float, *, goes_first: t.Callable[[Rank], bool]
    ) -> list[Arrival]:
        """Arrivals until the horizon, if those of the window repeat.

        :param goes_first: whether runs of a rank count.
        """
        found = []
        for slot, totals in self._totals_by_slot.items():
            first = slot * SLOT_SECONDS + ARRIVAL_WINDOW_SECONDS - now
            if first < -SLOT_SECONDS:
                continue
            for rank, total in totals.items():
                if not goes_first(rank):
                    continue
                stay, seconds = total.stay(), max(0.0, first)
                while seconds < horizon:
                    found.append(Arrival(seconds, stay))
                    seconds += ARRIVAL_WINDOW_SECONDS
        return found


@dataclasses.dataclass(slots=True)
class Booking:
    """A return that a refused caller was told.

    :param at: time of the return, on the clock of the calendar.
    :param has_room: room is expected then; otherwise it is only the latest time that
        the caller accepts.
    :param since: time at which the caller was first refused.
    :param run: id of the run that returned, once it did.
    """

    rank: Rank
    stay: Stay
    at: float
    has_room: bool
    since: float
    run: str | None = None


class Calendar:
    """Booked returns of one pool, by caller.

    :ivar matched: number of returns that came at their time.
    :ivar expired: number of bookings that nobody used.
    """

    __slots__ = (
        "_booking_by_caller",
        "_coming_by_slot",
        "_expire_at",
        "expired",
        "matched",
    )

    def __init__(self) -> None:
        self._booking_by_caller: dict[str, Booking] = {}
        self._coming_by_slot: dict[tuple[int, Rank], _Total] = {}
        self._expire_at = -math.inf
        self.matched = 0
        self.expired = 0

    def __len__(self) -> int:
        return len(self._booking_by_caller)

    def book(
        self,
        caller: str,
        rank: Rank,
        stay: Stay,
        at: float,
        *,
        now: float | None = None,
        has_room: bool = True,
    ) -> bool:
        """Book a return; whether the calendar is not full.

        :param now: time of the refusal, by default that of the return; a caller that
            was refused before keeps the earlier one.
        """
        if not caller or len(self._booking_by_caller) >= MAX_BOOKINGS:
            return False
        known = self._booking_by_caller.get(caller)
        first = at if now is None else now
        since = first if known is None else known.since
        self.close(caller)
        booking = Booking(rank, stay, at, has_room, since)
        self._booking_by_caller[caller] = booking
        if has_room:
            self._coming_by_slot.setdefault(_slot(booking), _Total()).add(stay)
        return True

    def find(self, caller: str, now: float) -> Booking | None:
        """The booking of a caller that has not expired."""
        self._expire(now)
        return self._booking_by_caller.get(caller)

    def claim(self, caller: str, run: str, now: float) -> bool:
        """Whether a run is a return of a caller that was told a time.

        The first run that comes at that time claims the booking.  One that comes before
        counts as a return as well, so that nobody gains by coming early.
        """
        booking = self.find(caller, now)
        if booking is None:
            return False
        if booking.run is None and now >= booking.at - EARLY_SECONDS:
            self._remove_coming(booking)
            booking.run = run
            self.matched += 1
        return booking.run in (None, run)

    def promised_before(self, caller: str, now: float) -> list[Booking]:
        """Bookings of others that go before a caller that returns before its time.

        These are of the same or a better rank, were refused for the first time before
        this caller, and have not returned yet.  Empty for a caller that returns at its
        time or has no booking.
        """
        own = self.find(caller, now)
        if own is None or own.run is not None or now >= own.at - EARLY_SECONDS:
            return []
        earlier = (
            other
            for other in self._booking_by_caller.values()
            if other.run is None and other.rank <= own.rank and other.since < own.since
        )
        return heapq.nsmallest(MAX_PROMISED, earlier, key=lambda other: other.since)

    def close(self, caller: str) -> None:
        """Remove the booking of a caller whose run was admitted or gave up."""
        booking = self._booking_by_caller.pop(caller, None)
        if booking is not None:
            self._remove_coming(booking)

    def arrivals(
        self, now: float, *, goes_first: t.Callable[[Rank], bool]
    ) -> list[Arrival]:
        """Returns that are still to come, those of a rank and a slot as one.

        :param goes_first: whether returns of a rank count.
        """
        self._expire(now)
        return [
            Arrival(max(0.0, slot * SLOT_SECONDS - now), total.stay())
            for (slot, rank), total in self._coming_by_slot.items()
            if goes_first(rank)
        ]

    def _remove_coming(self, booking: Booking) -> None:
        """Remove a booking from the returns that are still to come."""
        if booking.run is not None or not booking.has_room:
            return
        total = self._coming_by_slot[_slot(booking)]
        total.remove(booking.stay)
        if not total.runs:
            del self._coming_by_slot[_slot(booking)]

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_INTERVAL_SECONDS
        for caller, booking in list(self._booking_by_caller.items()):
            claimed = booking.run is not None
            seconds = CLAIMED_SECONDS if claimed else RETURN_GRACE_SECONDS
            if now > booking.at + seconds:
                self.expired += not claimed
                self.close(caller)


def _slot(booking: Booking) -> tuple[int, Rank]:
    """The slot and the rank with which a booking is summed up."""
    return int(booking.at / SLOT_SECONDS), booking.rank
