"""Ends of servers' processes in the midst of responses, and what comes behind them.

They are drawn apart from the faults of :mod:`soak.gateway.faults`, so that a seed keeps
its other faults.
"""

import asyncio
import random
import time

from soak.gateway.checks import Checker
from soak.gateway.fakes import SoakEngine
from soak.gateway.fakes import SoakServer
from soak.gateway.fakes import SoakStore
from soak.gateway.faults import FaultInjector

PAUSE_SECONDS = (0.2, 1.0)
SERVICES = ("engines", "engines", "engines", "plain")
CONDITIONS = ("in service", "in service", "draining", "removed")
BEHIND = ("the next life at once", "the next life later", "silence", "refusals")
LEAVING_SECONDS = (0.2, 1.6)
MAX_DOWN_SECONDS = 0.1
"""Longest time from the end of a life to the next one on the same port."""
ENTRY_SECONDS = (0.0, 1.2)
"""Time for which the entry of a life that ended without notice stays."""


class LifeInjector:
    """Ends servers' processes with all they serve."""

    def __init__(
        self, injector: FaultInjector, store: SoakStore, checker: Checker
    ) -> None:
        self._injector = injector
        self._store = store
        self._checker = checker

    async def run(self, seed: int, seconds: float) -> None:
        """End one process after the other for some seconds."""
        rng = random.Random(f"lives {seed}")
        ends_at = time.monotonic() + seconds
        ending = set()
        while time.monotonic() < ends_at:
            details = random.Random(rng.getrandbits(64))
            ending.add(asyncio.create_task(self._end(details)))
            await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*ending)

    async def _end(self, rng: random.Random) -> None:
        service, condition, behind = map(rng.choice, (SERVICES, CONDITIONS, BEHIND))
        seconds = rng.uniform(*LEAVING_SECONDS)
        server = self._take(service, rng)
        if server is None:
            return
        if condition != "in service":
            self._leave(server, condition)
            await asyncio.sleep(seconds)
        kind = f"{service}: end while {condition}, then {behind}"
        self._injector.counts[kind] += 1
        print(f"fault {kind} ({server.id})", flush=True)
        began = time.monotonic()
        silent = []
        if behind.startswith("the next life"):
            down = MAX_DOWN_SECONDS * rng.random() * behind.endswith("later")
            await self._injector.open(service, behind=server, down=down)
        else:
            server.end()
            if behind == "silence":
                silent = server.port.fall_silent()
        await asyncio.sleep(rng.uniform(*ENTRY_SECONDS))
        if condition != "removed":
            self._store.remove(f"servers/{server.id}")
        if service == "plain":
            self._checker.response_faults.append((began, time.monotonic()))
        await server.stop()
        if not behind.startswith("the next life"):
            await self._injector.open(service)
        for each in silent:
            each.close()

    def _take(self, service: str, rng: random.Random) -> SoakEngine | SoakServer | None:
        """Take a server out of those in service, unless only two are left."""
        found = self._injector.in_service(service)
        if len(found) <= 2:
            return None
        server = found.pop(rng.randrange(len(found)))
        server.closed = time.monotonic()
        return server

    def _leave(self, server: SoakEngine | SoakServer, condition: str) -> None:
        """Announce that a server drains, or remove its entry."""
        key = f"servers/{server.id}"
        if condition == "draining":
            server.leaving = True
            self._store.put(key, server.entry(server.service, state="draining"))
        else:
            self._store.remove(key)
        self._checker.left_at_by_server[server.id] = time.monotonic()
