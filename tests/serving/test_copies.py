"""Tests of where the runs of an engine that shuts down are copied."""

import types
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.serving.copies import Copies
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


class _Upstreams:
    """Engines in three halls."""

    def __init__(self, *, uneven: bool) -> None:
        self._uneven = uneven
        self.engines = [
            Upstream(
                UpstreamRecord(f"{hall}-{number}", "s", "10.0.0.1:1", hall, slots=8),
                0.0,
            )
            for number in range(2)
            for hall in "abc"
        ]
        self.by_id = {engine.id: engine for engine in self.engines}

    def uneven(self, service: str) -> bool:
        return self._uneven

    def of(self, service: str) -> list[Upstream]:
        return self.engines

    def pools_of(self, service: str) -> int:
        return 1


class _Owner:
    """Admits copies on engines that are not full."""

    def __init__(self, upstreams: _Upstreams, full: t.Collection[str]) -> None:
        self._upstreams = upstreams
        self._full = full

    async def place_copy(
        self, work: t.Any, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict:
        for name in self._upstreams.by_id:
            if name not in avoid and name not in self._full:
                return Admit((name,))
        return Wait(0.2, 0, 1.5)


class CopyTargetsTest(TestCase):
    async def targets(
        self, *, full: t.Collection[str] = (), uneven: bool = True
    ) -> list[str]:
        """Targets for a run of an engine in hall ``b`` that leaves."""
        upstreams = _Upstreams(uneven=uneven)
        work = types.SimpleNamespace(
            job=types.SimpleNamespace(id="r", demand=Demand(prompt=3000)),
            service=types.SimpleNamespace(name="s"),
        )
        chooser = types.SimpleNamespace(engines_by_room=lambda found, *_, **__: found)
        copies = Copies(
            t.cast("t.Any", work),
            t.cast("t.Any", types.SimpleNamespace(memory=27_000)),
            t.cast("t.Any", None),
            chooser=t.cast("t.Any", chooser),
            upstreams=t.cast("t.Any", upstreams),
            control=t.cast("t.Any", None),
            advisor=t.cast("t.Any", _Owner(upstreams, full)),
            engine=lambda: None,
        )
        found = await copies._find_targets(upstreams.by_id["b-0"], ())
        return [engine.id for engine in found]

    async def test_engines_of_the_same_hall_are_asked_for_first(self):
        self.assertEqual(["b-1"], await self.targets())
        self.assertEqual(["a-0"], await self.targets(full=["b-1"]))

    async def test_runs_wait_while_the_owner_finds_no_room(self):
        every = _Upstreams(uneven=True).by_id
        self.assertEqual([], await self.targets(full=every))

    async def test_even_engines_are_chosen_by_the_owner_alone(self):
        self.assertEqual(["a-0"], await self.targets(uneven=False))
