"""Control calls to engines: reports, reservations and copies of runs."""

import dataclasses
import typing as t

from bankrack.clock import boottime
from bankrack.exceptions import UpstreamClosed
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream


@dataclasses.dataclass(slots=True, frozen=True)
class Health:
    """Answer to a health check.

    :param name: name of the instance that answered; ``None`` if it stated none.
    :param healthy: it considers itself healthy and does not shut down.
    """

    name: str | None
    healthy: bool


class EngineControl(t.Protocol):
    """Interface of the control calls to engines."""

    async def report(self, engine: Upstream) -> EngineReport:
        """Request an engine's status report; raises :exc:`UpstreamFailed`."""
        ...

    async def reserve(
        self, engine: Upstream, tokens: int, ttl: float, progress: CallProgress
    ) -> str | None:
        """Reserve a slot and memory; ``None`` if the engine has no capacity.

        Raises :exc:`UpstreamFailed`.

        :param tokens: memory to reserve.
        :param ttl: seconds until the reservation expires.
        :param progress: updated as the call proceeds.
        """
        ...

    async def release(self, engine: Upstream, reservation: str) -> None:
        """Release a reservation that is not used; raises :exc:`UpstreamFailed`.

        A reservation that is not released expires by itself.
        """
        ...

    async def probe(self, engine: Upstream, path: str) -> None:
        """Ask an engine for its load at this moment; raises :exc:`UpstreamFailed`.

        :param path: health path of the service.
        """
        ...

    async def identify(self, upstream: Upstream, path: str) -> Health:
        """Ask on a new connection which instance answers at an upstream's address.

        Raises :exc:`UpstreamFailed`.

        :param path: health path of the service.
        """
        ...

    async def copy(self, source: Upstream, run_id: str, target: Upstream) -> str:
        """Copy a running run's memory to ``target``; returns the copy's handle.

        Raises :exc:`RunNotFound` if the run is not running on ``source``,
        :exc:`UpstreamRefused` if ``target`` has no capacity, and
        :exc:`UpstreamFailed`.
        """
        ...

    async def drop_copy(self, source: Upstream, handle: str) -> None:
        """Free a copy that is no longer needed."""
        ...


class GuardedControl:
    """Control calls that respect the back-offs of engines.

    Every call raises :exc:`UpstreamClosed` while its engine's back-off for this node is
    in effect.  This is the last check before a call is sent.
    """

    def __init__(
        self, control: EngineControl, *, clock: t.Callable[[], float] = boottime
    ) -> None:
        self._control = control
        self._clock = clock

    async def report(self, engine: Upstream) -> EngineReport:
        """Request an engine's status report."""
        self._refuse_if_backing_off(engine)
        return await self._control.report(engine)

    async def reserve(
        self, engine: Upstream, tokens: int, ttl: float, progress: CallProgress
    ) -> str | None:
        """Reserve a slot and memory; ``None`` if the engine has no capacity."""
        self._refuse_if_backing_off(engine)
        return await self._control.reserve(engine, tokens, ttl, progress)

    async def release(self, engine: Upstream, reservation: str) -> None:
        """Release a reservation that is not used."""
        self._refuse_if_backing_off(engine)
        await self._control.release(engine, reservation)

    async def probe(self, engine: Upstream, path: str) -> None:
        """Ask an engine for its load at this moment."""
        self._refuse_if_backing_off(engine)
        await self._control.probe(engine, path)

    async def identify(self, upstream: Upstream, path: str) -> Health:
        """Ask on a new connection which instance answers at an upstream's address."""
        self._refuse_if_backing_off(upstream)
        return await self._control.identify(upstream, path)

    async def copy(self, source: Upstream, run_id: str, target: Upstream) -> str:
        """Copy a running run's memory to ``target``; returns the copy's handle."""
        self._refuse_if_backing_off(source)
        return await self._control.copy(source, run_id, target)

    async def drop_copy(self, source: Upstream, handle: str) -> None:
        """Free a copy that is no longer needed; a refused one expires by itself."""
        self._refuse_if_backing_off(source)
        await self._control.drop_copy(source, handle)

    def _refuse_if_backing_off(self, engine: Upstream) -> None:
        if engine.backing_off(self._clock()):
            raise UpstreamClosed(
                f"engine {engine.id} asked this node to back off; use another engine "
                "or retry later"
            )
