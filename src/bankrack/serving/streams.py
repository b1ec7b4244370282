"""Streams that outlive their engines.

A run is sent with the address of a second engine, which keeps a copy of the
run's memory.  When the stream breaks, the run goes on at the copy from the
event that the caller has last; the caller sees one stream.  While the engine
with the copy leaves, a copy is made elsewhere.
"""

import asyncio
import dataclasses
import logging
import random
import time
import typing as t

from bankrack import logs
from bankrack.exceptions import BankrackError
from bankrack.exceptions import Overloaded
from bankrack.exceptions import StreamInterrupted
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamUnreachable
from bankrack.metrics import GatewayMetrics
from bankrack.serving.assignment import Assignment
from bankrack.serving.budget import SharedRetryBudget
from bankrack.serving.choice import Chooser
from bankrack.serving.client import Exchange
from bankrack.serving.client import Resume
from bankrack.serving.client import Send
from bankrack.serving.client import UpstreamClient
from bankrack.serving.events import EventOrder
from bankrack.serving.events import EventSplitter
from bankrack.serving.job import Answer
from bankrack.serving.job import Reply
from bankrack.serving.routing import EngineTraits
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import Upstreams

MAX_SENDS = 5
"""Engines asked before a stream that has not begun is refused."""
SILENCE_SECONDS = 0.6
"""An engine that made events and then none for so long is given up."""
RESUME_SECONDS = 2.0
"""Time for a copy to go on; it reads what it lacks in some hundred ms."""
BACKUP_FILL = 0.45
"""Part of the memory of all engines up to which backups are made; the rest is for
runs."""
WAIT_FOR_PLACE = 0.7
"""Part of the target latency that a run waits for a place; the rest is for
reading its prompt."""
PLACE_POLL_SECONDS = 0.08
"""Rest between two rounds of asking; each question is priced as a probe."""
HOLD_ASK_SECONDS = 0.15
"""An engine answers in a few ms whether it keeps a place."""
COPY_CHECK_SECONDS = 0.1
COPY_REFRESH_SECONDS = 0.4
"""What a copy lacks is read anew when the run goes on there, which is a pause."""
COPY_NEAR_FACTOR = 4.0
"""A copy within the hall takes half the time of one to another hall."""
COPY_SECONDS = 2.0
RETRY_AFTER_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class EngineControl(t.Protocol):
    """Orders to engines about the memory of runs, and their reports."""

    async def report(self, engine: Upstream) -> EngineReport:
        """Ask an engine how it is; raises :exc:`UpstreamFailed`."""
        ...

    async def hold(self, engine: Upstream, tokens: int, ttl: float) -> str | None:
        """Have a slot and memory kept; ``None`` when there is no room.

        Raises :exc:`UpstreamFailed`.
        """
        ...

    async def copy(self, source: Upstream, run_id: str, target: Upstream) -> str:
        """Copy a run's memory while it goes on; returns the copy's handle.

        Raises :exc:`UpstreamFailed`.
        """
        ...

    async def drop_copy(self, source: Upstream, handle: str) -> None:
        """Free a copy that is not needed."""
        ...


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


class _EngineSilent(UpstreamFailed):
    """An engine that made events makes none; it may still be at work."""


class StreamRelay:
    """Carries streams to engines and their events back."""

    def __init__(
        self,
        *,
        client: UpstreamClient,
        chooser: Chooser,
        upstreams: Upstreams,
        budget: SharedRetryBudget,
        control: EngineControl,
        metrics: GatewayMetrics,
    ) -> None:
        self.metrics = metrics
        self.client = client
        self.chooser = chooser
        self.upstreams = upstreams
        self.budget = budget
        self.control = control

    async def serve(self, work: Assignment, reply: Reply) -> str:
        """Serve one stream; returns the outcome for the log."""
        run = _Run(self, work, reply)
        try:
            return await run.serve()
        finally:
            await run.close()


class _Run:
    """One run of a generation, wherever it goes on."""

    def __init__(self, relay: StreamRelay, work: Assignment, reply: Reply) -> None:
        self._relay = relay
        self._work = work
        self._reply = reply
        self._traits = work.service.engine or EngineTraits(slots=0, memory=0)
        self._order = EventOrder()
        self._splitter = EventSplitter()
        self._engine: Upstream | None = None
        self._exchange: Exchange | None = None
        self._copies: list[Copy] = []
        self._tried: set[str] = set()
        self._sends = 0
        self._resumes = 0
        self._keeper: asyncio.Task[None] | None = None

    async def serve(self) -> str:
        answer = await self._start()
        if answer is not None:
            await self._reply.answer(answer)
            return f"{answer.status} after {self._sends} sends"
        while True:
            try:
                await self._pass_events()
                break
            except _EngineSilent as error:
                await self._switch(error)
            except UpstreamFailed as error:
                await self._resume(error)
        await self._reply.end()
        return f"whole, {self._sends} sends, {self._resumes} resumes"

    async def close(self) -> None:
        """Free what the run holds."""
        if self._keeper is not None:
            self._keeper.cancel()
        await self._drop_copies()
        self._leave_engine()

    # Starting

    async def _start(self) -> Answer | None:
        """Send the job until an engine takes it.

        Returns a whole answer where that is final instead of a stream.
        """
        while True:
            engine, hold = await self._place()
            self._take_from_budget()
            try:
                exchange = await self._open(engine, hold=hold)
            except UpstreamUnreachable as error:
                self._relay.chooser.suspect(engine)
                self._tried.add(engine.id)
                self._log("attempt_ended", engine, "unreachable", error.message)
                continue
            except UpstreamFailed as error:
                await self._resume(error)
                return None
            if exchange.head.not_run:
                exchange.close()
                self._leave_engine()
                self._tried.add(engine.id)
                self._log("attempt_ended", engine, "rejected", "")
                continue
            if exchange.head.status != 200:
                return await self._whole(exchange)
            self._exchange = exchange
            return None

    async def _place(self) -> tuple[Upstream, str | None]:
        """Find an engine with room, and have it keep a place.

        Engines are asked because reports are old when they come.  A run that
        waits here can still go to any engine; one that waits in an engine's
        queue is lost with it, so it goes there only once it would be late anyway.
        """
        patience = WAIT_FOR_PLACE * self._work.route.target_latency
        until = time.monotonic() + min(patience, self._work.time_left() / 2)
        while True:
            engines = self._candidates()
            if not self._traits.hold:
                return engines[0], None
            for engine in engines:
                hold = await self._hold(engine)
                if hold is not None:
                    return engine, hold
            if time.monotonic() >= until:
                return engines[0], None
            await asyncio.sleep(PLACE_POLL_SECONDS * (0.5 + random.random()))

    def _candidates(self) -> list[Upstream]:
        """Engines to send to, in the order to ask them; raises without any."""
        work = self._work
        relay = self._relay
        engines = relay.chooser.engines_by_room(
            self._untried(), work.job.demand, memory=self._traits.memory
        )
        if self._sends >= MAX_SENDS or not engines:
            raise Overloaded(
                f"no engine of {work.service.name} takes the run now; try again",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return engines

    def _untried(self) -> list[Upstream]:
        engines = self._relay.upstreams.open_of(self._work.service.name)
        return [u for u in engines if u.id not in self._tried]

    def _take_from_budget(self) -> None:
        """Account for a send that is not the first."""
        service = self._work.service.name
        if self._sends > 0 and not self._relay.budget.take(service):
            raise Overloaded(
                "engines rejected the run and the retry budget is used up; try again",
                retry_after=RETRY_AFTER_SECONDS,
            )

    async def _hold(self, engine: Upstream) -> str | None:
        demand = self._work.job.demand
        try:
            async with asyncio.timeout(HOLD_ASK_SECONDS):
                hold = await self._relay.control.hold(
                    engine, demand.prompt + 150, self._traits.hold
                )
        except (BankrackError, TimeoutError) as error:
            self._relay.chooser.suspect(engine)
            self._log("hold_failed", engine, "failed", repr(error))
            return None
        if hold is None:
            self._log("hold_refused", engine, "no room", "")
        return hold

    async def _whole(self, exchange: Exchange) -> Answer:
        body = await exchange.read()
        head = exchange.head
        if head.status < 300 and not head.sealed:
            raise UpstreamFailed("the engine's answer carries no proof of origin")
        return Answer(head.status, head.headers, body)

    async def _open(
        self,
        engine: Upstream,
        *,
        hold: str | None = None,
        resume: Resume | None = None,
    ) -> Exchange:
        """Send to ``engine``; it holds the run from now on."""
        work = self._work
        now = time.monotonic()
        kind = "resume" if resume else "first"
        self._relay.metrics.sends.inc({"service": work.service.name, "kind": kind})
        backup = self._choose_backup(engine)
        send = Send(
            job=work.job,
            upstream=engine,
            workspace=work.workspace,
            priority=work.priority,
            time_left=work.time_left(),
            backup=backup.address if backup else None,
            hold=hold,
            resume=resume,
        )
        self._engine = engine
        self._splitter = EventSplitter()
        engine.in_flight += 1
        try:
            exchange = await self._relay.client.open(send)
        except UpstreamUnreachable:
            self._leave_engine()
            raise
        except BaseException:
            self._sends += 1
            self._remember_backup(backup)
            raise
        self._sends += 1
        if not exchange.head.not_run:
            engine.note_sent(work.job.demand.prompt, now)
            self._remember_backup(backup)
        self._log(
            "run_sent",
            engine,
            str(exchange.head.status),
            kind,
            backup=backup.id if backup else None,
        )
        return exchange

    def _copy_targets(self, engine: Upstream) -> list[Upstream]:
        """Order the engines for a copy of what runs on ``engine``."""
        others = [u for u in self._untried() if u is not engine]
        return self._relay.chooser.engines_by_room(
            others,
            self._work.job.demand,
            memory=self._traits.memory,
            near=engine.record.hall,
            near_factor=COPY_NEAR_FACTOR,
        )

    def _choose_backup(self, engine: Upstream) -> Upstream | None:
        """Choose where a copy is kept from the start; none while memory is short."""
        targets = self._copy_targets(engine) if self._traits.backups else []
        if not targets:
            return None
        engines = self._relay.upstreams.open_of(self._work.service.name)
        pool = self._relay.chooser.pool_fill(engines, self._traits.memory)
        both = 2 * self._work.job.demand.expected
        return targets[0] if pool.fits(both, fill=BACKUP_FILL) else None

    def _remember_backup(self, backup: Upstream | None) -> None:
        self._copies = []
        if backup is not None:
            backup.note_sent(self._work.job.demand.prompt, time.monotonic())
            copy = Copy(backup, backup.address, self._work.job.id, backup=True)
            self._copies.append(copy)

    def _leave_engine(self) -> None:
        """Stop the run where it is; the engine drops it with its connection."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._engine is not None:
            self._engine.in_flight -= 1
            self._engine = None

    # Passing events on

    async def _pass_events(self) -> None:
        """Pass whole events on until the stream's end."""
        assert self._exchange is not None
        exchange = self._exchange
        splitter = self._splitter
        while True:
            data = await self._read(exchange)
            if not data:
                break
            for event in splitter.feed(data):
                if self._order.accept(event):
                    await self._write(exchange, event.data)
        if splitter.rest:
            raise UpstreamFailed("the stream ended inside an event")
        if not self._reply.started:
            raise UpstreamFailed("the stream ended before its first event")

    async def _read(self, exchange: Exchange) -> bytes:
        if not self._reply.started or not self._copies:
            return await exchange.read_some()
        try:
            async with asyncio.timeout(SILENCE_SECONDS):
                return await exchange.read_some()
        except TimeoutError as error:
            raise _EngineSilent(
                f"the engine made no event for {SILENCE_SECONDS} s"
            ) from error

    async def _write(self, exchange: Exchange, data: bytes) -> None:
        if not self._reply.started:
            if not exchange.head.sealed:
                raise UpstreamFailed("the engine's answer carries no proof of origin")
            await self._reply.begin(exchange.head.status, exchange.head.headers)
            if self._traits.moves:
                self._keeper = asyncio.create_task(self._keep_copy())
        await self._reply.write(data)

    # Going on elsewhere

    async def _switch(self, error: BankrackError) -> None:
        """Go on at a copy if one can; else stay with the engine that is silent.

        It may only be crowded.  Its connection is dropped once the copy has
        taken over, well before both could be at work for long.
        """
        silent, exchange, copies = self._engine, self._exchange, self._copies
        splitter = self._splitter
        assert silent is not None and exchange is not None
        self._log("stream_silent", silent, "asking copies", error.message)
        for copy in copies:
            if copy.holder is silent or copy.holder.gone_at:
                continue
            self._engine, self._exchange = None, None
            if await self._resume_at(copy):
                self._resumes += 1
                exchange.close()
                silent.in_flight -= 1
                self._relay.chooser.suspect(silent)
                return
        self._engine, self._exchange, self._copies = silent, exchange, copies
        self._splitter = splitter

    async def _resume(self, error: BankrackError) -> None:
        """Go on at a copy; raises :exc:`StreamInterrupted` where none does."""
        broken = self._engine
        copies = self._copies
        counted = self._relay.metrics.resumes
        self._leave_engine()
        if broken is not None:
            self._relay.chooser.suspect(broken)
            self._tried.add(broken.id)
            self._log("stream_broke", broken, "resuming", error.message)
        for copy in copies:
            if await self._resume_at(copy):
                self._resumes += 1
                counted.inc({"outcome": "ok"})
                return
        counted.inc({"outcome": "lost"})
        raise StreamInterrupted(
            "the engine broke off and no copy of the run could go on; send a new "
            f"request ({error.message})"
        )

    async def _resume_at(self, copy: Copy) -> bool:
        holder = copy.holder
        if not self._relay.budget.take(self._work.service.name):
            self._log("resume_refused", holder, "budget", "")
            return False
        last = self._order.last
        resume = Resume(copy.source, copy.handle, None if last is None else str(last))
        try:
            async with asyncio.timeout(RESUME_SECONDS):
                exchange = await self._open(holder, resume=resume)
        except (BankrackError, TimeoutError) as error:
            self._leave_engine()
            self._log("resume_refused", holder, "failed", repr(error))
            return False
        if exchange.head.status != 200:
            exchange.close()
            self._leave_engine()
            self._log("resume_refused", holder, str(exchange.head.status), "")
            return False
        self._exchange = exchange
        return True

    async def _keep_copy(self) -> None:
        """Copy the run elsewhere when its engine leaves and no backup is kept."""
        while True:
            await asyncio.sleep(COPY_CHECK_SECONDS)
            engine = self._engine
            if engine is None or self._exchange is None or not engine.leaving:
                continue
            if any(c.backup and not c.holder.leaving for c in self._copies):
                continue
            kept = [c for c in self._copies if not c.backup and not c.holder.leaving]
            targets = [c.holder for c in kept] or self._copy_targets(engine)
            for target in targets:
                if await self._copy_to(engine, target):
                    await asyncio.sleep(COPY_REFRESH_SECONDS)
                    break

    async def _copy_to(self, engine: Upstream, target: Upstream) -> bool:
        """Copy the run; what was copied before is only brought up to date."""
        try:
            async with asyncio.timeout(COPY_SECONDS):
                handle = await self._relay.control.copy(
                    engine, self._work.job.id, target
                )
        except (BankrackError, TimeoutError) as error:
            self._log("copy_failed", target, "failed", repr(error))
            return False
        if engine is self._engine:
            copy = Copy(target, engine.address, handle, backup=False)
            self._copies = [copy, *[c for c in self._copies if c.backup]]
            self._log("copy_made", target, "ok", handle)
        return True

    async def _drop_copies(self) -> None:
        """Free copies that the run no longer needs."""
        engine = self._engine
        for copy in self._copies:
            if copy.backup or engine is None or copy.source != engine.address:
                continue
            try:
                async with asyncio.timeout(HOLD_ASK_SECONDS):
                    await self._relay.control.drop_copy(engine, copy.handle)
            except (BankrackError, TimeoutError) as error:
                self._log("copy_not_freed", copy.holder, "failed", repr(error))

    def _log(
        self,
        name: str,
        engine: Upstream,
        outcome: str,
        reason: str,
        *,
        backup: str | None = None,
    ) -> None:
        report = engine.report
        logs.event(
            _logger,
            name,
            request=self._work.job.id,
            upstream=engine.id,
            address=engine.address,
            leaving=engine.leaving,
            outcome=outcome,
            reason=reason,
            backup=backup,
            last_event=self._order.last,
            report_age=time.monotonic() - report.taken if report else None,
            used=report.used if report else None,
            elapsed=time.monotonic() - self._work.job.arrived,
        )
