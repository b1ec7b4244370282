"""Number of nodes by which shared quotas are divided."""

import typing as t

from bankrack.utils import WindowMaximum

MIN_NODES = 3
"""Lower bound of the count, as entries of other nodes may be missing."""
PEAK_WINDOW_SECONDS = 10.0
"""Window of the maximum. Entries that expired in an outage of the store are missing for
a while after it; a smaller count would make this node's share too large."""


class FleetSize:
    """Maximum number of members in a sliding window.

    :param members: returns the live members.
    """

    def __init__(self, members: t.Callable[[], t.Sized]) -> None:
        self._members = members
        self._peak = WindowMaximum(PEAK_WINDOW_SECONDS)

    def count(self) -> int:
        """Return the number of nodes; call it periodically to sample the members."""
        return max(MIN_NODES, int(self._peak.observe(len(self._members()))))
