"""Decides how far a node goes by an outage of the store of which others told it.

The store may fail some nodes while it serves others, so that only a call of its own
shows a node whether the store is there. In an outage of the whole store, on the other
hand, a call by each node at once would be a burst that shows nothing new. The nodes
that others follow therefore ask as soon as their view is old, and the rest one after
the other, at a rate that does not grow with the fleet.
"""

import dataclasses

MAX_TOLD_SECONDS = 0.3
"""Time after the last answer of another node for which its word counts. A leader that
lives answers within its long poll of 0.25 s."""
READS_PER_SECOND = 30.0
"""Reads a second by all nodes that nobody follows, when they are told of an outage."""
SEEN_OUTAGE_SECONDS = 1.5
"""Age of a view from which on entries may have expired, as the store failed this
node."""
TOLD_OUTAGE_SECONDS = 2.4
"""The same for a node that was only told of an outage: two heartbeats of upstreams,
whose entries expire after three."""


@dataclasses.dataclass(slots=True, frozen=True)
class Outage:
    """What a node knows of an outage of the store since its view was confirmed.

    :param seen: the store failed a call of this node.
    :param told: another node said that the store failed.
    """

    seen: bool
    told: bool


def turn_seconds(*, followed: bool, members: int, draw: float) -> float:
    """Return the time for which a node that is told of an outage does not read.

    It begins when its view is so old that it would read otherwise.

    :param followed: other nodes follow this one, or will if one of their leaders fails.
    :param members: number of nodes of the fleet.
    :param draw: random number from 0 to 1.
    """
    return 0.0 if followed else draw * members / READS_PER_SECOND


def leaves_reads_to_others(
    outage: Outage, *, has_turn: bool, contact_age: float
) -> bool:
    """Whether a node whose view is old goes by an outage and does not read the store.

    :param has_turn: its turn to read has come.
    :param contact_age: seconds since the store or a leader last answered this node.
    """
    is_known = outage.seen or outage.told
    return is_known and not has_turn and contact_age < MAX_TOLD_SECONDS


def may_have_lapsed(outage: Outage, *, view_age: float) -> bool:
    """Whether entries that a read lacks may have expired as the store was away.

    Otherwise they were removed, and this node did not learn of it.

    :param view_age: seconds since the view was confirmed.
    """
    if outage.seen:
        return view_age > SEEN_OUTAGE_SECONDS
    return outage.told and view_age > TOLD_OUTAGE_SECONDS
