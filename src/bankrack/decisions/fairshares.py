"""Shares a crowded pool among the workspaces of one rank.

Answers load in which a few workspaces ask for most of a pool: large ones, one whose key
is hot, or callers that repeat their requests at once.  By due time alone, the runs of
the others would wait behind all of theirs.

Start-time fair queueing over tokens that engines read and generate: each workspace has
a virtual finish time, and a run starts at the later one of that and the virtual time
of its rank.  The virtual time follows the runs that wait, so a workspace that was idle
starts with the others and not with a credit.  Nothing is held back while there is room,
as only the order of waiting runs depends on it.
"""

import math
import typing as t

Rank = tuple[int, int]

MAX_WORKSPACES = 4096
"""Limit on workspaces with a finish time; beyond it new ones are not charged."""


class FairShares:
    """Tokens that workspaces used of one pool, by rank."""

    __slots__ = ("_finish_by_workspace", "_time_by_rank")

    def __init__(self) -> None:
        self._finish_by_workspace: dict[tuple[Rank, str], float] = {}
        self._time_by_rank: dict[Rank, float] = {}

    def debt(self, rank: Rank, workspace: str) -> float:
        """Tokens by which a workspace is ahead of the others of its rank."""
        finish = self._finish_by_workspace.get((rank, workspace), 0.0)
        return max(0.0, finish - self._time_by_rank.get(rank, 0.0))

    def debts(self) -> dict[tuple[Rank, str], float]:
        """The workspaces that are ahead of the others."""
        return {
            key: debt
            for key in self._finish_by_workspace
            if (debt := self.debt(*key)) > 0.0
        }

    def charge(
        self,
        rank: Rank,
        workspace: str,
        tokens: float,
        *,
        waiting: t.Iterable[str] = (),
        weight: float = 1.0,
    ) -> None:
        """Charge an admitted run to its workspace.

        :param waiting: workspaces whose runs of this rank wait; the virtual time moves
            up to the least start of these and of the admitted run.
        :param weight: share of the workspace relative to the others.
        """
        if not workspace or not math.isfinite(tokens) or tokens <= 0.0:
            return
        now = self._time_by_rank.get(rank, 0.0)
        key = rank, workspace
        if key not in self._finish_by_workspace:
            self._forget(rank)
            if len(self._finish_by_workspace) >= MAX_WORKSPACES:
                return
        start = now + self.debt(rank, workspace)
        starts = [now + self.debt(rank, other) for other in waiting]
        self._time_by_rank[rank] = min([start, *starts])
        self._finish_by_workspace[key] = start + tokens / max(weight, 1e-3)

    def _forget(self, rank: Rank) -> None:
        """Remove workspaces that are not ahead; they are as good as new ones."""
        for key in [key for key in self._finish_by_workspace if key[0] == rank]:
            if self.debt(*key) <= 0.0:
                del self._finish_by_workspace[key]
