"""Faults that take several steps: partitions of VMs, returns of the store, silence.

They are drawn apart from those of :mod:`soak.gateway.faults`, so that a seed keeps its
other faults.
"""

import asyncio
import random
import time
import typing as t

from tests.platform.fakes import StoredItem

from soak.gateway.checks import Checker
from soak.gateway.checks import Cut
from soak.gateway.fakes import SoakServer
from soak.gateway.fakes import SoakStore
from soak.gateway.processes import Gateway

PAUSE_SECONDS = (2.0, 8.0)
CUT_SECONDS = (3.0, 8.0)
COPY_AGE_SECONDS = (0.5, 4.0)
AWAY_SECONDS = (0.2, 1.5)
REWRITE_SECONDS = (0.0, 1.0)
SILENT_SECONDS = (0.8, 1.3)
KINDS = ("vms cut refused", "vms cut silent", "store returns", "server silent")


def plan(seed: int, seconds: float) -> list[tuple[float, str, random.Random]]:
    """Draw times, kinds and sources of the details; depends on the seed alone."""
    rng = random.Random(f"disasters {seed}")
    found = []
    at = rng.uniform(*PAUSE_SECONDS)
    while at < seconds:
        found.append((at, rng.choice(KINDS), random.Random(rng.getrandbits(64))))
        at += rng.uniform(*PAUSE_SECONDS)
    return found


class DisasterInjector:
    """Injects these faults.

    :param servers: returns the plain servers in service.
    """

    def __init__(
        self,
        gateways: list[Gateway],
        store: SoakStore,
        servers: t.Callable[[], list[SoakServer]],
        checker: Checker,
    ) -> None:
        self._gateways = gateways
        self._store = store
        self._servers = servers
        self._checker = checker
        self._cut = asyncio.Lock()
        self._returning = asyncio.Lock()

    async def run(self, seed: int, seconds: float) -> None:
        """Inject each fault at its time and wait until all have been repaired."""
        began = time.monotonic()
        tasks = set()
        for at, kind, rng in plan(seed, seconds):
            await asyncio.sleep(began + at - time.monotonic())
            print(f"fault {kind}", flush=True)
            tasks.add(asyncio.create_task(self._inject(kind, rng)))
        await asyncio.gather(*tasks)

    async def _inject(self, kind: str, rng: random.Random) -> None:
        match kind.split():
            case ["vms", "cut", how]:
                async with self._cut:
                    await self._cut_vms(how, rng)
            case ["store", "returns"]:
                async with self._returning:
                    await self._return_store(rng)
            case ["server", "silent"]:
                server = rng.choice(self._servers())
                await server.fall_silent(rng.uniform(*SILENT_SECONDS))

    async def _cut_vms(self, how: str, rng: random.Random) -> None:
        """Cut some VMs off from all upstreams, at least one but not all."""
        count = rng.randint(1, len(self._gateways) - 1)
        cut = rng.sample(self._gateways, count)
        began = time.monotonic()
        for gateway in cut:
            gateway.cut_off(how)
        await asyncio.sleep(rng.uniform(*CUT_SECONDS))
        for gateway in cut:
            gateway.cut_off("")
        self._checker.cuts.append(Cut(frozenset(cut), began, time.monotonic()))

    async def _return_store(self, rng: random.Random) -> None:
        """Have the store return from a copy; its writers then write again."""
        store = self._store
        began = time.monotonic()
        store.take_copy()
        await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
        store.status = 503
        await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
        before = dict(store.item_by_key)
        store.restore_copy()
        store.removed.clear()
        restored = store.revision
        store.status = 0
        await asyncio.sleep(rng.uniform(*REWRITE_SECONDS))
        self._write_again(before, restored)
        self._checker.store_faults.append((began, time.monotonic()))

    def _write_again(self, before: dict[str, StoredItem], restored: int) -> None:
        """Write what the operator and the servers had written, and remove the rest.

        :param restored: revision of the copy; what was written since stays.
        """
        store = self._store
        for key, known in list(store.item_by_key.items()):
            is_old = known.revision <= restored
            if _is_written_again(key) and key not in before and is_old:
                store.remove(key)
        for key, item in before.items():
            found = store.item_by_key.get(key)
            if not _is_written_again(key) or key in store.removed:
                continue
            if found is None or (
                found.revision <= restored and found.value != item.value
            ):
                store.put(key, item.value)


def _is_written_again(key: str) -> bool:
    return key.startswith(("servers/", "op/"))
