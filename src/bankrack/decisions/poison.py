"""Decides what is to blame for the crashes of upstreams.

Dozens of runs may be active on an upstream when it crashes, and one of them may have
caused it: by the request as a whole, or by a part of its prompt that other requests
share.  Both are traits of a request and judged alike: a trait is to blame if it was
active at several independent crashes and no upstream got past it in between.
"""

import dataclasses
import typing as t

EARLY_WEIGHT = 1.0
"""Weight of a crash before the run's first event."""
LATE_WEIGHT = 0.5
"""Weight of a later crash: a long run may be resumed into a second one by chance."""
SUSPICION_LIMIT = 2.0
"""Evidence from which a trait is blamed: two independent early crashes without a
success in between.  Each further crash would interrupt the upstream's other streams."""


@dataclasses.dataclass(slots=True, frozen=True)
class Crash:
    """A crash of an upstream on which a run with some trait was active.

    :param upstream: instance that crashed.
    :param software: software version that the instance reported; empty if unknown.
    :param early: the run had sent no event yet.
    :param cleared: the same software version got past the trait since, or shortly
        before.
    :param request: fingerprint of the request; empty if it is the trait.
    """

    upstream: str
    software: str
    early: bool
    cleared: bool = False
    request: str = ""


class CrashKey(t.NamedTuple):
    """Identifies one crash in the history of a trait."""

    upstream: str
    request: str


History = t.Collection[Crash]
"""Crashes at which one trait was active."""


def crash_key(crash: Crash) -> CrashKey:
    """Return what tells a crash from the others at which a trait was active."""
    return CrashKey(crash.upstream, crash.request)


def is_early(events: int) -> bool:
    """Whether a run may have crashed its upstream as it began.

    :param events: number of events that the run had sent so far.
    """
    return events == 0


def evidence(crashes: History) -> float:
    """Sum the weights of the independent crashes that are not cleared.

    Crashes of one request, which its node sends to another upstream, and crashes of one
    upstream are not independent.
    """
    groups: list[tuple[set[str], set[str], float]] = []
    for crash in crashes:
        if crash.cleared:
            continue
        upstreams = {crash.upstream}
        requests = {crash.request} if crash.request else set()
        weight = EARLY_WEIGHT if crash.early else LATE_WEIGHT
        separate = []
        for group in groups:
            if group[0] & upstreams or group[1] & requests:
                upstreams |= group[0]
                requests |= group[1]
                weight = max(weight, group[2])
            else:
                separate.append(group)
        groups = [*separate, (upstreams, requests, weight)]
    return sum(weight for _, _, weight in groups)


def is_poison(crashes: History) -> bool:
    """Whether there is enough evidence against a trait."""
    return evidence(crashes) >= SUSPICION_LIMIT


def is_blamed(trait: str, history_by_trait: t.Mapping[str, History]) -> bool:
    """Whether a trait is to blame, given what else was active at the same crashes.

    A crash that another part explains says nothing against the trait.

    :param history_by_trait: histories of the trait and of parts that were active at
        the same crashes.
    """
    history = history_by_trait[trait]
    if not is_poison(history):
        return False
    explained = {
        crash.upstream
        for other, others in history_by_trait.items()
        if other != trait and _explains(others, history)
        for crash in others
        if not crash.cleared
    }
    return is_poison([c for c in history if c.upstream not in explained])


def _explains(others: History, history: History) -> bool:
    """Whether a part is a better explanation of the crashes that it shares.

    It is if all its requests had the trait, while the trait was active at more crashes;
    or if they are different requests and there is more evidence against it.
    """
    if not is_poison(others):
        return False
    keys, other_keys = _uncleared(history), _uncleared(others)
    if other_keys < keys:
        return True
    return not other_keys >= keys and evidence(others) > evidence(history)


def companions(trait: str, history_by_trait: t.Mapping[str, History]) -> set[str]:
    """Return the parts that were active whenever a trait was at a crash.

    Any of them may be the cause instead of the trait, so only a request with all of
    them is refused; the others show which one is to blame.

    :param history_by_trait: histories of the trait and of parts that were active at
        the same crashes.
    """
    keys = _uncleared(history_by_trait[trait])
    return {
        other
        for other, history in history_by_trait.items()
        if other != trait and keys <= _uncleared(history)
    }


def _uncleared(crashes: History) -> set[CrashKey]:
    return {crash_key(crash) for crash in crashes if not crash.cleared}


def may_run_on(software: str, crashes: History) -> bool:
    """Whether a trait may be sent to an upstream with this software version.

    A version on which the trait has not caused a crash may have the fault fixed, so
    it is tried there until that version crashes too.
    """
    if not is_poison(crashes):
        return True
    ended = {crash.software for crash in crashes if not crash.cleared}
    return software not in ended


def merge(known: Crash, reported: Crash) -> Crash:
    """Merge two reports of the same crash; evidence that clears the trait is kept."""
    return dataclasses.replace(
        known,
        early=known.early and reported.early,
        cleared=known.cleared or reported.cleared,
    )
