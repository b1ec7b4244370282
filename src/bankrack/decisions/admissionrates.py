"""How fast a pool admits runs while others wait for room.

Answers a pool that is crowded for long by runs of unequal size, of which the long ones
end at times that nobody knows.  Its free memory lies on its engines in parts that are
too small for a run, and by a forecast from memory alone each run of a long queue would
begin at once.  What was admitted lately while runs waited shows how fast the queue
moves, whatever it is that binds.
"""

import dataclasses
import math
import typing as t

from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.admissionqueue import total_need

Rank = tuple[int, int]

WINDOW_SECONDS = 3.0
"""Window over which admissions are counted; ten times the longest interval at which
waiting runs ask again."""
SLOT_SECONDS = 0.125
"""Admissions are summed up in slots of this length, which bounds the work."""
MIN_SLOTS = 8
"""With fewer slots in which runs waited, the pool is not known to be crowded."""
MAX_RANKS = 64
"""Limit on the ranks of one slot; routes and workspaces have a few."""


@dataclasses.dataclass(slots=True)
class _Slot:
    """What happened within a slot.

    :param waited: some run had to wait.
    :param need_by_rank: memory of the admitted runs, in tokens.
    """

    waited: bool = False
    need_by_rank: dict[Rank, float] = dataclasses.field(default_factory=dict)


class AdmissionRates:
    """Memory that runs were admitted to within the window, by rank."""

    __slots__ = ("_slot_by_number",)

    def __init__(self) -> None:
        self._slot_by_number: dict[int, _Slot] = {}

    def note_wait(self, now: float) -> None:
        """Record that a run has to wait."""
        self._slot(now).waited = True

    def note_admitted(self, candidate: Candidate, now: float) -> None:
        """Record an admitted run."""
        needs = self._slot(now).need_by_rank
        if candidate.rank in needs or len(needs) < MAX_RANKS:
            known = needs.get(candidate.rank, 0.0)
            needs[candidate.rank] = known + candidate.need

    def seconds_until_first(
        self,
        candidate: Candidate,
        ahead: t.Iterable[Candidate],
        now: float,
        *,
        arriving: float | None = None,
    ) -> float:
        """Seconds until the runs ahead are admitted, at the rate of the window.

        Admitted runs of worse ranks count, as they would have been behind.  0 where too
        few slots show that rate.

        :param arriving: memory per second of the runs of all ranks that arrive, if they
            go first as well; infinite if no more than these are admitted.
        """
        oldest = now - WINDOW_SECONDS
        slots = [
            slot
            for number, slot in self._slot_by_number.items()
            if slot.waited and number * SLOT_SECONDS >= oldest
        ]
        if len(slots) < MIN_SLOTS:
            return 0.0
        # One run more: without admissions only the length of the window is known.
        admitted = candidate.need + sum(
            need
            for slot in slots
            for rank, need in slot.need_by_rank.items()
            if rank >= candidate.rank or arriving is not None
        )
        rate = admitted / (len(slots) * SLOT_SECONDS) - (arriving or 0.0)
        return total_need(ahead) / rate if rate > 0.0 else math.inf

    def _slot(self, now: float) -> _Slot:
        number = int(now / SLOT_SECONDS)
        slot = self._slot_by_number.get(number)
        if slot is None:
            oldest = now - WINDOW_SECONDS
            for old in list(self._slot_by_number):
                if old * SLOT_SECONDS < oldest:
                    del self._slot_by_number[old]
            slot = self._slot_by_number[number] = _Slot()
        return slot
