"""Memory of the traits that upstreams got past without a crash."""

import collections
import dataclasses
import typing as t

from bankrack.serving.traits import is_part

MAX_SERVED = 4096
"""Bounds the recorded traits; frequent traits stay among them."""
SAME_MOMENT_SECONDS = 0.5
"""Time in which a part clears further crashes: a hall's upstreams may crash at once."""


@dataclasses.dataclass(slots=True)
class _Served:
    """Last success with a trait.

    :ivar until: time until which it clears crashes; ``None`` before the first one.
    """

    software: str
    until: float | None = None


class ServedTraits:
    """Traits that upstreams got past at this node, with the software version.

    A success clears the next crash of a fingerprint, or the next ones of a part in the
    same moment.  Later crashes need a new success: a trait may become deadly.
    """

    __slots__ = ("_clock", "_served_by_trait")

    def __init__(self, *, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._served_by_trait: collections.OrderedDict[str, _Served] = (
            collections.OrderedDict()
        )

    def add(self, trait: str, software: str) -> None:
        """Record that an upstream with this software version got past a trait."""
        served = self._served_by_trait
        served[trait] = _Served(software)
        served.move_to_end(trait)
        if len(served) > MAX_SERVED:
            served.popitem(last=False)

    def clears(self, trait: str, software: str) -> bool:
        """Whether a success clears a crash now on this software version."""
        served = self._served_by_trait.get(trait)
        if served is None or served.software != software:
            return False
        return served.until is None or self._clock() <= served.until

    def note_crash(self, trait: str) -> None:
        """Record that a new crash was reported for a trait."""
        served = self._served_by_trait.get(trait)
        if served is None:
            return
        now = self._clock()
        if not is_part(trait):
            del self._served_by_trait[trait]
        elif served.until is None:
            served.until = now + SAME_MOMENT_SECONDS
        elif served.until < now:
            del self._served_by_trait[trait]
