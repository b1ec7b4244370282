"""Orders to engines about places and about the memory of runs."""

import typing as t

from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream


class EngineControl(t.Protocol):
    """Orders to engines about the memory of runs, and their reports."""

    async def report(self, engine: Upstream) -> EngineReport:
        """Ask an engine how it is; raises :exc:`UpstreamFailed`."""
        ...

    async def hold(self, engine: Upstream, tokens: int, ttl: float) -> str | None:
        """Have a slot and memory kept; ``None`` when there is no room.

        Raises :exc:`UpstreamFailed`.
        """
        ...

    async def copy(self, source: Upstream, run_id: str, target: Upstream) -> str:
        """Copy a run's memory while it goes on; returns the copy's handle.

        Raises :exc:`RunNotThere` where ``source`` does not run it now,
        :exc:`UpstreamRefused` where ``target`` has no room, and :exc:`UpstreamFailed`.
        """
        ...

    async def drop_copy(self, source: Upstream, handle: str) -> None:
        """Free a copy that is not needed."""
        ...
