"""Limits on the requests in flight, per workspace and per node."""

import contextlib
import typing as t

from bankrack.control.intent import Workspace
from bankrack.exceptions import LimitExceeded
from bankrack.exceptions import NodeDraining

RETRY_AFTER_SECONDS = 1.0


class InFlightLimiter:
    """Counts the requests in flight and rejects requests over a limit."""

    def __init__(self, *, max_requests: int) -> None:
        self.by_workspace: dict[str, int] = {}
        self.total = 0
        self.closed = False
        self._max_requests = max_requests

    @contextlib.contextmanager
    def enter(self, workspace: Workspace) -> t.Iterator[None]:
        """Count one request while the context is active.

        Raises :exc:`NodeDraining` or :exc:`LimitExceeded`.
        """
        self._check(workspace)
        count = self.by_workspace.get(workspace.name, 0)
        self.by_workspace[workspace.name] = count + 1
        self.total += 1
        try:
            yield
        finally:
            self.total -= 1
            self._release(workspace.name)

    def _release(self, name: str) -> None:
        left = self.by_workspace[name] - 1
        if left:
            self.by_workspace[name] = left
        else:
            del self.by_workspace[name]

    def _check(self, workspace: Workspace) -> None:
        if self.closed:
            raise NodeDraining(
                "this node is stopping; send the request again", retry_after=0.1
            )
        if self.total >= self._max_requests:
            raise LimitExceeded(
                "this node has reached its limit of requests in flight; try again",
                retry_after=RETRY_AFTER_SECONDS,
            )
        if self.by_workspace.get(workspace.name, 0) >= workspace.max_in_flight:
            raise LimitExceeded(
                f"workspace {workspace.name} has reached its limit of "
                f"{workspace.max_in_flight} requests in flight on this node; "
                "wait for one to end",
                retry_after=RETRY_AFTER_SECONDS,
            )
