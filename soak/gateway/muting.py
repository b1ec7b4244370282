"""Engines that answer nothing for a while, while gateways are stopped in series."""

import asyncio
import random
import time

from soak.gateway.checks import Checker
from soak.gateway.faults import FaultInjector
from soak.gateway.processes import Gateway

STOP_PAUSE_SECONDS = (0.1, 1.0)
STOP_SERIES = 2
"""Series of stops beside each other."""
MUTE_PAUSE_SECONDS = (0.5, 1.5)
MUTE_SECONDS = (0.7, 3.0)


class Muting:
    """Silences engines and stops gateways, until some time has passed."""

    def __init__(
        self, gateways: list[Gateway], injector: FaultInjector, checker: Checker
    ) -> None:
        self._gateways = gateways
        self._injector = injector
        self._checker = checker

    async def run(self, seed: int, seconds: float) -> None:
        """Silence engines in turn beside series of stops; ends once all are ready."""
        ends_at = time.monotonic() + seconds
        rng = random.Random(f"muting {seed}")
        draws = [random.Random(rng.getrandbits(64)) for _ in range(STOP_SERIES)]
        await asyncio.gather(
            self._mute(rng, ends_at), *(self._stop(each, ends_at) for each in draws)
        )
        await asyncio.gather(*(node.wait_until_ready() for node in self._gateways))

    async def _mute(self, rng: random.Random, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*MUTE_PAUSE_SECONDS))
            engine = rng.choice(self._injector.engines)
            self._injector.counts["engine muted"] += 1
            began = time.monotonic()
            engine.stalled = True
            await engine.fall_silent(rng.uniform(*MUTE_SECONDS))
            engine.stalled = False
            self._checker.link_faults[engine.id].append((began, time.monotonic()))

    async def _stop(self, rng: random.Random, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*STOP_PAUSE_SECONDS))
            node = rng.choice(self._gateways)
            if not node.busy:
                self._injector.counts["gateway stopped"] += 1
                await self._injector.run_exclusively(
                    node, lambda node=node: self._injector.stop(node)
                )
