"""Decides whether a request may be served by the configuration that this node has.

A change must be in force everywhere soon, and a node that is cut off must go on
serving. The age of the view alone tells neither: it grows while the store is away,
while a large value is on its way, and while this node is cut off. Evidence tells them
apart: a newer version of which this node knows, other nodes that say that the store
failed, and whether anybody answers this node at all.
"""

import dataclasses

MAX_AGE_SECONDS = 1.9
"""Age of the configuration from which on a request may not rely on it unchecked. A
change must be in force 2 s after the store acknowledged it."""
MAX_CONTACT_AGE_SECONDS = 2.0
"""Time without an answer of the store or of a leader after which a node is cut off."""


@dataclasses.dataclass(slots=True, frozen=True)
class Evidence:
    """What a node knows about its configuration; times in seconds.

    :param age: since the configuration was last known to be the newest.
    :param newer_known: a newer version exists that is not here yet.
    :param contact_age: since the store or a leader last answered this node.
    :param goes_by_outage: another node said that the store failed, and this node's turn
        to read has not come.
    :param own_reads_fail: this node reads the store itself, and its last read failed.
    """

    age: float
    newer_known: bool
    contact_age: float
    goes_by_outage: bool
    own_reads_fail: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Serve:
    """Serve by the configuration that is here.

    :param reason: why an old one is used; empty if it is not old.
    """

    reason: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Confirm:
    """Wait a moment for the newest version, then judge again."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the request, which another node can serve."""


Verdict = Serve | Confirm | Refuse


def judge(evidence: Evidence, *, confirmation_failed: bool) -> Verdict:
    """Return whether a request may be served.

    :param confirmation_failed: whether it has waited for the newest version in vain.
    """
    if evidence.age <= MAX_AGE_SECONDS:
        return Serve()
    if evidence.newer_known:
        if evidence.contact_age > MAX_CONTACT_AGE_SECONDS:
            return Serve("cut off")
        return Refuse() if confirmation_failed else Confirm()
    if evidence.goes_by_outage:
        return Serve("another node told of an outage")
    if evidence.own_reads_fail:
        return Serve("own reads of the store fail")
    return Serve("confirmation failed") if confirmation_failed else Confirm()
