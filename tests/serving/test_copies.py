"""Tests of where the runs of an engine that shuts down are copied."""

import types
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Wait
from bankrack.serving.copies import Copies
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


class CopyTargetsTest(TestCase):
    def copies(
        self, *, full: t.Collection[str] = (), uneven: bool = True, log: t.Any = None
    ) -> tuple[Copies, Upstream]:
        """Copies of a run of the engine ``b-0``, which leaves, in hall ``b``."""
        names = [f"{hall}-{number}" for number in range(2) for hall in "abc"]
        engines = [
            Upstream(UpstreamRecord(name, "s", "10.0.0.1:1", name[0], slots=8), 0.0)
            for name in names
        ]

        async def place_copy(work: t.Any, *, avoid: t.Collection[str], **_: t.Any):
            left = [name for name in names if name not in {*avoid, *full}]
            return Admit((left[0],)) if left else Wait(0.2, 0, 1.5)

        fake: t.Any = types.SimpleNamespace
        copies = Copies(
            fake(job=fake(demand=Demand()), service=fake(name="s")),
            fake(memory=27_000),
            log,
            chooser=fake(),
            upstreams=fake(
                uneven=lambda service: uneven,
                of=lambda service: engines,
                by_id={engine.id: engine for engine in engines},
            ),
            control=fake(),
            advisor=fake(place_copy=place_copy),
            engine=lambda: None,
        )
        return copies, engines[names.index("b-0")]

    async def targets(self, **site: t.Any) -> list[str]:
        copies, engine = self.copies(**site)
        found = await copies._find_targets(engine, ())
        return [engine.id for engine in found]

    async def test_engines_of_the_same_hall_are_asked_for_first(self):
        self.assertEqual(["b-1"], await self.targets())
        self.assertEqual(["a-0"], await self.targets(full=["b-1"]))
        every = [f"{hall}-{number}" for hall in "abc" for number in range(2)]
        self.assertEqual([], await self.targets(full=every))

    async def test_even_engines_are_chosen_by_room_alone(self):
        self.assertEqual(["a-0"], await self.targets(uneven=False))

    async def test_run_without_room_for_a_copy_is_not_told_apart_from_one_with_it(self):
        logged: list[str] = []
        names = [f"{hall}-{number}" for number in range(2) for hall in "abc"]
        log = types.SimpleNamespace(write=lambda name, *found: logged.append(name))
        copies, engine = self.copies(full=names, log=log)
        for _ in range(3):
            self.assertFalse(await copies._copy_to_any(engine, ()))
        self.assertEqual(["copy_not_placed"], logged)
