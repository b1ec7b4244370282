"""Copies of a run's memory, from which it can go on elsewhere.

A backup is kept up to date by the engine that runs it, from its start; another
copy is ordered when that engine leaves.
"""

import asyncio
import dataclasses
import time
import typing as t

from bankrack.exceptions import BankrackError
from bankrack.serving.assignment import Assignment
from bankrack.serving.choice import Chooser
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.pools import neighbours
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import Upstreams

BACKUP_FILL = 0.45
"""Part of the memory of all engines up to which backups are made; the rest is for
runs."""
COPY_CHECK_SECONDS = 0.1
COPY_REFRESH_SECONDS = 0.4
"""What a copy lacks is read anew when the run goes on there, which is a pause."""
COPY_NEAR_FACTOR = 4.0
"""A copy within the hall takes half the time of one to another hall."""
COPY_SECONDS = 2.0
DROP_SECONDS = 0.15
"""An engine answers in a few ms; a copy that is not freed lapses by itself."""


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """Memory of a run that an engine holds.

    :param source: address that the copy is named after.
    :param backup: kept up to date by the running engine itself.
    """

    holder: Upstream
    source: str
    handle: str
    backup: bool


class Copies:
    """The copies of one run.

    :param engine: gives the engine that makes the run's events now, if any.
    """

    def __init__(
        self,
        work: Assignment,
        traits: EngineTraits,
        log: RunLog,
        *,
        chooser: Chooser,
        upstreams: Upstreams,
        control: EngineControl,
        engine: t.Callable[[], Upstream | None],
    ) -> None:
        self.found: list[Copy] = []
        self._work = work
        self._traits = traits
        self._log = log
        self._chooser = chooser
        self._upstreams = upstreams
        self._control = control
        self._engine = engine

    def choose_backup(
        self, engine: Upstream, *, tried: t.Collection[str]
    ) -> Upstream | None:
        """Choose where a backup is kept; none while memory is short.

        A short run ends about when its first backup would be complete.
        """
        if self._work.job.demand.short:
            return None
        targets = self._targets(engine, tried) if self._traits.backups else []
        if not targets:
            return None
        engines = neighbours(engine, self._upstreams.of(self._work.service.name))
        pool = self._chooser.pool_fill(engines, self._traits.memory)
        both = 2 * self._work.job.demand.expected
        return targets[0] if pool.fits(both, fill=BACKUP_FILL) else None

    def start_with(self, backup: Upstream | None) -> None:
        """Forget older copies; the run was sent with ``backup``."""
        self.found = []
        if backup is not None:
            backup.note_sent(self._work.job.demand.prompt, time.monotonic())
            copy = Copy(backup, backup.address, self._work.job.id, backup=True)
            self.found.append(copy)

    async def keep(self, *, tried: t.Collection[str]) -> None:
        """Copy the run for ever while its engine leaves and no backup is kept."""
        while True:
            await asyncio.sleep(COPY_CHECK_SECONDS)
            engine = self._engine()
            if engine is None or not engine.leaving or engine.ended:
                continue
            if any(c.backup and c.holder.open for c in self.found):
                continue
            kept = [c for c in self.found if not c.backup and c.holder.open]
            targets = [c.holder for c in kept] or self._targets(engine, tried)
            for target in targets:
                if await self._copy(engine, target):
                    await asyncio.sleep(COPY_REFRESH_SECONDS)
                    break

    async def drop(self) -> None:
        """Free copies that the run no longer needs; a backup goes by itself."""
        engine = self._engine()
        for copy in self.found:
            if copy.backup or engine is None or copy.source != engine.address:
                continue
            try:
                async with asyncio.timeout(DROP_SECONDS):
                    await self._control.drop_copy(engine, copy.handle)
            except (BankrackError, TimeoutError) as error:
                self._log.write("copy_not_freed", copy.holder, "failed", repr(error))

    def _targets(self, engine: Upstream, tried: t.Collection[str]) -> list[Upstream]:
        """Order the engines for a copy of what runs on ``engine``."""
        engines = self._upstreams.of(self._work.service.name)
        others = [
            u
            for u in neighbours(engine, engines)
            if u is not engine and u.id not in tried
        ]
        return self._chooser.engines_by_room(
            others,
            self._work.job.demand,
            memory=self._traits.memory,
            near=engine.record.hall,
            near_factor=COPY_NEAR_FACTOR,
        )

    async def _copy(self, engine: Upstream, target: Upstream) -> bool:
        """Copy the run; what was copied before is only brought up to date."""
        run_id = self._work.job.id
        try:
            async with asyncio.timeout(COPY_SECONDS):
                handle = await self._control.copy(engine, run_id, target)
        except (BankrackError, TimeoutError) as error:
            self._log.write("copy_failed", target, "failed", repr(error))
            return False
        if engine is self._engine():
            copy = Copy(target, engine.address, handle, backup=False)
            self.found = [copy, *[c for c in self.found if c.backup]]
            self._log.write("copy_made", target, "ok", handle)
        return True
