"""Copies of a run's memory, from which the run can be resumed on another engine.

A backup is kept up to date by the running engine from the start of the run.  Further
copies are requested when that engine is shutting down, or the node through which its
events come.
"""

import asyncio
import dataclasses
import enum
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.copytargets import avoided_by_round
from bankrack.exceptions import BankrackError
from bankrack.exceptions import RunNotFound
from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.assignment import Assignment
from bankrack.serving.choice import Chooser
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.pools import open_engines_of_pool
from bankrack.serving.registry import Upstreams
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream
from bankrack.utils import backoff_seconds

COPY_CHECK_INTERVAL_SECONDS = 0.1
COPY_REFRESH_INTERVAL_SECONDS = 0.4
"""Pause between refreshes.  Tokens missing from a copy are recomputed when the run is
resumed, which delays the stream."""
MAX_COPY_BACKOFF_SECONDS = 0.4
"""Bounds the backoff after failed copies, as an engine ends soon after its notice."""
MAX_TARGETS = 4
"""Engines asked for a copy in one round, to bound the load on a full pool."""
SAME_HALL_FACTOR = 4.0
"""Factor on the weight of engines in the same hall, as copies within a hall are
faster."""
COPY_TIMEOUT_SECONDS = 2.0
DROP_TIMEOUT_SECONDS = 0.15
"""Timeout of a request to free a copy; a copy that is not freed expires by itself."""


@dataclasses.dataclass(slots=True, frozen=True)
class Copy:
    """A copy of a run's memory on an engine.

    :param source: address of the engine under which the copy is registered.
    :param handle: identifier of the copy for that address.
    :param backup: the running engine itself keeps the copy up to date.
    """

    holder: Upstream
    source: str
    handle: str
    backup: bool


class _CopyResult(enum.Enum):
    """Result of a request for a copy."""

    MADE = "made"
    REFUSED = "refused"
    NOT_RUNNING = "not there"


class Copies:
    """Copies of one run.

    :param engine: returns the engine that currently generates the run's events, if any.
    :param path_ends: returns whether these come through a node that stops.
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
        advisor: PlacementAdvisor,
        engine: t.Callable[[], Upstream | None],
        path_ends: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self.current: list[Copy] = []
        self._work = work
        self._traits = traits
        self._log = log
        self._chooser = chooser
        self._upstreams = upstreams
        self._control = control
        self._advisor = advisor
        self._engine = engine
        self._path_ends = path_ends
        # Engine for whose run no place was found, once that was logged.
        self._unplaced_for: Upstream | None = None

    def choose_backup(
        self, engine: Upstream, *, tried: t.Collection[str]
    ) -> Upstream | None:
        """Choose an engine for the run's backup, or ``None`` for no backup.

        A short run gets none, as it ends before its first backup would be complete.
        """
        if self._work.job.demand.short:
            return None
        targets = self._targets(engine, tried) if self._traits.backups else []
        return targets[0] if targets else None

    def reset(self, backup: Upstream | None) -> None:
        """Replace all copies by ``backup``, with which the run was sent."""
        self.current = []
        if backup is not None:
            backup.note_sent(self._work.job.demand.prompt, boottime())
            copy = Copy(backup, backup.address, self._work.job.id, backup=True)
            self.current.append(copy)

    async def maintain(self, *, tried: t.Collection[str]) -> None:
        """Keep the run copied while its engine, or the node through which its events
        come, is shutting down; runs until cancelled.

        Nothing is copied while a usable backup exists.
        """
        failures = 0
        while True:
            await asyncio.sleep(
                backoff_seconds(
                    failures,
                    first=COPY_CHECK_INTERVAL_SECONDS,
                    maximum=MAX_COPY_BACKOFF_SECONDS,
                )
            )
            engine = self._engine()
            if engine is None or not self._needs_copy(engine):
                continue
            if await self._copy_to_any(engine, tried):
                failures = 0
                await asyncio.sleep(COPY_REFRESH_INTERVAL_SECONDS)
            else:
                failures += 1

    def _needs_copy(self, engine: Upstream) -> bool:
        """Whether the run is about to break off and has no usable backup."""
        if engine.ended or not (engine.leaving or self._path_ends()):
            return False
        return not any(copy.backup and copy.holder.open for copy in self.current)

    async def _copy_to_any(self, engine: Upstream, tried: t.Collection[str]) -> bool:
        """Update the existing copy or create one; returns whether that succeeded."""
        holders = [c.holder for c in self.current if not c.backup and c.holder.open]
        targets = holders or await self._find_targets(engine, tried)
        if not targets:
            self._log_unplaced(engine)
        for target in targets:
            result = await self._copy(engine, target)
            if result is _CopyResult.MADE:
                return True
            self._advisor.copy_dropped(self._work)
            if result is _CopyResult.NOT_RUNNING:
                return False
        return False

    def _log_unplaced(self, engine: Upstream) -> None:
        """Log once for each engine that its run has no place for a copy."""
        if self._unplaced_for is not engine:
            self._unplaced_for = engine
            self._log.write("copy_not_placed", engine, "waiting", "no room elsewhere")

    async def release(self, engine: Upstream | None) -> None:
        """Free the copies that the run no longer needs.

        Backups are freed by the engines themselves.

        :param engine: engine that generated the run's newest events, if any.
        """
        for copy in self.current:
            if copy.backup or engine is None or copy.source != engine.address:
                continue
            try:
                async with asyncio.timeout(DROP_TIMEOUT_SECONDS):
                    await self._control.drop_copy(engine, copy.handle)
            except (BankrackError, TimeoutError) as error:
                self._log.write("copy_not_freed", copy.holder, "failed", repr(error))

    async def _find_targets(
        self, engine: Upstream, tried: t.Collection[str]
    ) -> list[Upstream]:
        """Find engines for a copy; empty if no engine has capacity.

        The pool owner is asked first, as it knows of concurrent copies.  This node's
        own choice relies on reports that do not include them yet.  Where engines are of
        unequal speed, it is asked for an engine of the same hall first.
        """
        service = self._work.service.name
        rounds: list[set[str]] = [set()]
        if self._upstreams.uneven(service):
            engines = self._upstreams.of(service)
            hall_by_engine = {other.id: other.record.hall for other in engines}
            rounds = avoided_by_round(hall_by_engine, hall=engine.record.hall)
        for avoided in rounds:
            verdict = await self._advisor.place_copy(
                self._work,
                memory=self._traits.memory,
                avoid=[*tried, engine.id, *sorted(avoided)],
            )
            match verdict:
                case Admit(names) if names:
                    by_id = self._upstreams.by_id
                    found = [by_id[name] for name in names if name in by_id]
                    # A response may have shown this node a shutdown unknown to the
                    # owner.
                    if targets := [target for target in found if target.open]:
                        return targets
                case None | Admit() if not avoided:
                    return self._targets(engine, tried)[:MAX_TARGETS]
        return []

    def _targets(self, engine: Upstream, tried: t.Collection[str]) -> list[Upstream]:
        """Order the candidate engines for a copy of a run on ``engine``."""
        service = self._work.service.name
        engines = self._upstreams.of(service)
        pools = self._upstreams.pools_of(service)
        candidates = [
            u
            for u in open_engines_of_pool(engine, engines, pools)
            if u is not engine and u.id not in tried
        ]
        return self._chooser.engines_by_room(
            candidates,
            self._work.job.demand,
            memory=self._traits.memory,
            near=engine.record.hall,
            near_factor=SAME_HALL_FACTOR,
        )

    async def _copy(self, engine: Upstream, target: Upstream) -> _CopyResult:
        """Copy the run to ``target``; an existing copy there is only updated."""
        run_id = self._work.job.id
        try:
            async with asyncio.timeout(COPY_TIMEOUT_SECONDS):
                handle = await self._control.copy(engine, run_id, target)
        except RunNotFound as error:
            # The run is preempted or has just ended, so no other target can succeed.
            self._log.write("copy_failed", target, "not there", error.message)
            return _CopyResult.NOT_RUNNING
        except (BankrackError, TimeoutError) as error:
            self._log.write("copy_failed", target, "failed", repr(error))
            return _CopyResult.REFUSED
        if engine is self._engine():
            copy = Copy(target, engine.address, handle, backup=False)
            self.current = [copy, *[c for c in self.current if c.backup]]
            self._log.write("copy_made", target, "ok", handle)
        return _CopyResult.MADE
