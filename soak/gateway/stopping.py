"""Gateways that stop in series that overlap, beside engines that leave or fail."""

import asyncio
import random
import signal
import time

from soak.gateway.faults import FaultInjector
from soak.gateway.processes import Gateway

STOP_PAUSE_SECONDS = (0.1, 1.5)
GATEWAYS_PER_SERIES = 2
"""One series of stops beside each other for this many gateways, and one more."""
FIRST_FRACTION = 0.3
"""Fraction of the stops of the first gateway, which leads and owns the pool."""
REPEAT_FRACTION = 0.4
"""Fraction of the stops with a second SIGTERM."""
RELOAD_FRACTION = 0.4
"""Fraction of the stops with a SIGHUP."""
SIGNAL_SECONDS = (0.0, 7.0)
"""Time from SIGTERM to the other signals."""
LEAVE_PAUSE_SECONDS = (0.5, 2.5)
TROUBLES = ("reset", "reject")
TROUBLE_PAUSE_SECONDS = (0.3, 1.5)
TROUBLE_SECONDS = (0.2, 1.5)
FULL_PAUSE_SECONDS = (0.5, 2.5)
FULL_SECONDS = (3.0, 9.0)
"""Time for which the engines have no room."""
FULL_STEP_SECONDS = 0.1
MEMORY_TOKENS = 30_000
"""Memory of an engine."""


class Stopping:
    """Stops gateways and engines until some time has passed."""

    def __init__(self, gateways: list[Gateway], injector: FaultInjector) -> None:
        self._gateways = gateways
        self._injector = injector
        self._ended = False

    async def run(self, seed: int, seconds: float) -> None:
        """Run all series beside each other; ends once all gateways are ready.

        The engines' go on until the last gateway has stopped.
        """
        ends_at = time.monotonic() + seconds
        rng = random.Random(f"stopping {seed}")
        stops = 1 + len(self._gateways) // GATEWAYS_PER_SERIES
        draws = [random.Random(rng.getrandbits(64)) for _ in range(stops)]
        series = [
            asyncio.create_task(each(random.Random(rng.getrandbits(64))))
            for each in (self._leave, self._trouble, self._fill)
        ]
        await asyncio.gather(*(self._stop_nodes(each, ends_at) for each in draws))
        self._ended = True
        await asyncio.gather(
            *series, *(node.wait_until_ready() for node in self._gateways)
        )

    async def _stop_nodes(self, rng: random.Random, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*STOP_PAUSE_SECONDS))
            is_first = rng.random() < FIRST_FRACTION
            node = self._gateways[0] if is_first else rng.choice(self._gateways)
            others = [other for other in self._gateways if other is not node]
            if not node.busy and not all(other.busy for other in others):
                self._injector.counts["gateway stopped"] += 1
                await self._injector.run_exclusively(
                    node, lambda node=node: self._stop(node, rng)
                )

    async def _stop(self, node: Gateway, rng: random.Random) -> None:
        """Stop a gateway, perhaps with further signals until its process has ended."""
        await asyncio.gather(
            self._injector.stop(node),
            self._signal(node, signal.SIGTERM, REPEAT_FRACTION, rng),
            self._signal(node, signal.SIGHUP, RELOAD_FRACTION, rng),
        )

    async def _signal(
        self,
        node: Gateway,
        number: signal.Signals,
        fraction: float,
        rng: random.Random,
    ) -> None:
        process = node.process
        seconds, is_sent = rng.uniform(*SIGNAL_SECONDS), rng.random() < fraction
        if is_sent:
            await asyncio.sleep(seconds)
            process.signal(number)

    async def _leave(self, rng: random.Random) -> None:
        """Have one engine after the other leave; a new one follows each."""
        leaving = set()
        while not self._ended:
            await asyncio.sleep(rng.uniform(*LEAVE_PAUSE_SECONDS))
            self._injector.counts["engine left"] += 1
            details = random.Random(rng.getrandbits(64))
            leaving.add(asyncio.create_task(self._injector.engine_reclaimed(details)))
        await asyncio.gather(*leaving)

    async def _trouble(self, rng: random.Random) -> None:
        while not self._ended:
            await asyncio.sleep(rng.uniform(*TROUBLE_PAUSE_SECONDS))
            engine = rng.choice(self._injector.engines)
            trouble = rng.choice(TROUBLES)
            self._injector.counts[f"engine in trouble: {trouble}"] += 1
            engine.trouble = trouble
            await asyncio.sleep(rng.uniform(*TROUBLE_SECONDS))
            engine.trouble = ""

    async def _fill(self, rng: random.Random) -> None:
        """Have the engines report for a while that others use their memory.

        Runs that were queued by then stay in the queue, as no run is sent to them.
        """
        while not self._ended:
            await asyncio.sleep(rng.uniform(*FULL_PAUSE_SECONDS))
            self._injector.counts["engines full"] += 1
            full_until = time.monotonic() + rng.uniform(*FULL_SECONDS)
            while time.monotonic() < full_until and not self._ended:
                self._report_use(MEMORY_TOKENS)
                await asyncio.sleep(FULL_STEP_SECONDS)
            self._report_use(0)

    def _report_use(self, tokens: int) -> None:
        for engine in self._injector.engines:
            engine.used = tokens
