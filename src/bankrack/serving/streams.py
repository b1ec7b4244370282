"""Relay of streams, which survives the failure of their engines.

A run is sent with the address of a second engine, which keeps a backup of the run's
memory.  If the first engine fails, the run is resumed at the backup after the last
event that the caller received, and the caller sees one stream.  While a run's engine is
shutting down and no backup is usable, a copy is made on another engine.
"""

from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.assignment import Assignment
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.enginefinder import EngineFinder
from bankrack.serving.job import Demand
from bankrack.serving.job import Reply
from bankrack.serving.relay import NodeStop
from bankrack.serving.relay import RelayDependencies
from bankrack.serving.relay import RunContext
from bankrack.serving.reservations import Reservations
from bankrack.serving.run import Run


class StreamRelay:
    """Relays runs to engines and their events to callers."""

    def __init__(
        self,
        dependencies: RelayDependencies,
        *,
        control: EngineControl,
        advisor: PlacementAdvisor,
        reservations: Reservations,
    ) -> None:
        self._chooser = dependencies.chooser
        engine_finder = EngineFinder(
            chooser=dependencies.chooser,
            upstreams=dependencies.upstreams,
            control=control,
            advisor=advisor,
            cold=dependencies.cold,
            reservations=reservations,
        )
        self._stop = NodeStop()
        self._context = RunContext(
            dependencies, control, advisor, engine_finder, self._stop
        )

    def stop_at(self, stops_at: float) -> None:
        """Move runs off silent engines in time to end before ``stops_at``.

        :param stops_at: boot-time seconds when the process ends.
        """
        self._stop.stops_at = stops_at

    def max_seconds(self, service: str, demand: Demand) -> float:
        """Seconds from a run's first event to its last at most, at the usual pace.

        Callers' estimates of the length are often far too low.
        """
        pace = self._chooser.pace_of(service)
        return demand.max_output * pace.generated_token_seconds

    async def serve(self, work: Assignment, reply: Reply) -> str:
        """Serve one stream; returns the outcome for the log."""
        run = Run(self._context, work, reply)
        try:
            return await run.serve()
        finally:
            await run.close()
