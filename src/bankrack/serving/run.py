"""A run of a generation, which is resumed on another engine if its engine fails."""

import asyncio
import contextlib
import math

from bankrack.clock import boottime
from bankrack.decisions.backoff import should_wait_for_backoff
from bankrack.decisions.copyshares import seconds_for_copy
from bankrack.decisions.responseends import recourse_of
from bankrack.decisions.silentengines import TimeLeft
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidUpstreamData
from bankrack.exceptions import Overloaded
from bankrack.exceptions import StreamInterrupted
from bankrack.exceptions import UpstreamClosed
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.assignment import Assignment
from bankrack.serving.client import Exchange
from bankrack.serving.client import Resume
from bankrack.serving.client import whole_answer
from bankrack.serving.copies import Copies
from bankrack.serving.copies import Copy
from bankrack.serving.enginefinder import ChosenEngine
from bankrack.serving.engineinquiry import EngineInquiry
from bankrack.serving.enginelink import EngineLink
from bankrack.serving.forwarding import EventForwarder
from bankrack.serving.job import Answer
from bankrack.serving.job import Reply
from bankrack.serving.relay import RunContext
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.silence import EngineSilent
from bankrack.serving.silence import SilenceWatch
from bankrack.serving.upstreams import Upstream

MAX_SENDS = 5
"""Bounds the attempts before a stream that has not begun is refused."""
BEGIN_TIMEOUT_TARGETS = 2.0
"""Timeout for an engine to begin a run, in target latencies.  Shorter timeouts cause
retries that overload the engines further."""
RESUME_TIMEOUT_SECONDS = 2.0
"""Timeout for resuming a run at a copy, which first recomputes missing tokens.  Copies
before the last one may have less, so that the next one can begin in time.  The last
copy has until the caller gives up, as nothing else can continue the run."""


class Run:
    """One run of a generation, across all engines that it runs on."""

    def __init__(self, context: RunContext, work: Assignment, reply: Reply) -> None:
        self._context = context
        self._dependencies = context.dependencies
        self._work = work
        self._reply = reply
        self._traits = work.service.engine or EngineTraits(slots=0, memory=0)
        self._forwarder = EventForwarder(reply, gap_target=work.route.gap_target)
        self._log = RunLog(work, self._forwarder.order)
        self._pace = context.dependencies.chooser.pace_of(work.service.name)
        self._silence_watch = SilenceWatch(
            EngineInquiry(context.control, work.job.id, self._log),
            self._pace,
            max_silence=work.max_silence,
            time_left=self._time_left,
        )
        self._tried: set[str] = set()
        self._backup_fits = False
        self._resumes = 0
        self._begun = False
        self._completed = False
        self._released = False
        self._stream_seconds = 0.0
        self._copy_task: asyncio.Task[None] | None = None
        self._link = EngineLink(
            context.dependencies, context.advisor, work, self._log, self._forwarder
        )
        self._copies = Copies(
            work,
            self._traits,
            self._log,
            chooser=context.dependencies.chooser,
            upstreams=context.dependencies.upstreams,
            control=context.control,
            advisor=context.advisor,
            engine=lambda: self._link.running,
            path_ends=lambda: self._link.path_ends,
        )

    async def serve(self) -> str:
        """Serve the run until its end; returns the outcome for the log."""
        answer = await self._start()
        while answer is None:
            try:
                await self._forward_events()
                break
            except EngineSilent as error:
                answer = await self._switch_to_copy(error)
            except (UpstreamFailed, InvalidUpstreamData) as error:
                await self._leave_failed_engine(error)
                answer = await self._continue(error)
        if answer is not None:
            return await self._answer(answer)
        engine = self._link.engine
        if self._reply.behind:
            # The rest is sent from this node's memory.
            self._stream_seconds = self._forwarder.seconds
            await self._release()
        await self._reply.end()
        self._completed = True
        if engine is not None:
            self._dependencies.crashes.note_served(self._work, engine)
        self._stream_seconds = self._forwarder.seconds
        self._pace.ended(self._work.job.demand, self._stream_seconds)
        if self._forwarder.count > 1:
            self._pace.spaced(self._forwarder.gap)
        self._log.write_pace(self._forwarder, whole=True)
        return f"whole, {self._link.sends} sends, {self._resumes} resumes"

    async def close(self) -> None:
        """Release all resources of the run."""
        if not self._released:
            await self._release()
        if self._forwarder.began and not self._completed:
            self._log.write_pace(self._forwarder, whole=False)

    async def _release(self) -> None:
        """Release the run's engine and copies, and its place in the pool.

        The engine comes first, as it works on until its connection is closed.
        """
        if self._copy_task is not None:
            self._copy_task.cancel()
        engine = self._link.running
        self._released = True
        self._link.close()
        self._context.advisor.ended(self._work, took=self._stream_seconds)
        await self._copies.release(engine)

    # Starting

    async def _start(self) -> Answer | None:
        """Send the job until an engine accepts it.

        Returns a complete response if an engine sent one instead of a stream.
        """
        while True:
            try:
                chosen_engine = await self._context.engine_finder.find(
                    self._work, self._traits, self._log, tried=self._tried
                )
                await self._take_from_budget()
            except Overloaded as error:
                if self._link.runs == 0:
                    raise
                raise _interrupted(error) from error
            try:
                engine = chosen_engine.engine
                exchange = await self._open_first(chosen_engine)
            except UpstreamUnreachable as error:
                if not isinstance(error, UpstreamClosed):
                    self._link.suspect(engine)
                self._tried.add(engine.id)
                self._log.write("attempt_ended", engine, "unreachable", error.message)
                continue
            except UpstreamFailed as error:
                await self._leave_failed_engine(error)
                if await self._resume():
                    return None
                if self._may_run_again():
                    continue
                raise _interrupted(error) from error
            if exchange.head.not_run:
                exchange.close()
                self._link.disconnect()
                self._tried.add(engine.id)
                self._log.write("attempt_ended", engine, "rejected")
                continue
            if exchange.head.status != 200:
                return await self._read_answer(exchange)
            self._link.exchange = exchange
            return None

    async def _read_answer(self, exchange: Exchange) -> Answer:
        """Read a complete response that an engine sent instead of a stream."""
        with contextlib.closing(exchange):
            body = await exchange.read()
        repeatable = self._work.route.resumable
        return whole_answer(exchange.head, body, repeatable=repeatable)

    async def _open_first(self, chosen_engine: ChosenEngine) -> Exchange:
        """Send a run that no engine has yet.

        An engine that does not begin the run in time is suspected, and a run that may
        be started anew is then sent to another engine.
        """
        engine = chosen_engine.engine
        self._backup_fits = chosen_engine.backup_fits
        if not chosen_engine.granted:
            self._take_cold_quota(engine)
        begin_timeout = BEGIN_TIMEOUT_TARGETS * self._work.route.target_latency
        limit_seconds = begin_timeout if self._may_run_again(after=1) else None
        loop = asyncio.get_running_loop()
        suspect_timer = loop.call_later(begin_timeout, self._link.suspect, engine)
        try:
            async with asyncio.timeout(limit_seconds) as limit:
                return await self._open(engine, reservation=chosen_engine.reservation)
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise UpstreamFailed(
                f"the engine did not begin the run within {begin_timeout} s"
            ) from error
        finally:
            suspect_timer.cancel()

    def _take_cold_quota(self, engine: Upstream) -> None:
        """Count a send to a cold engine that the pool owner has not counted."""
        if not self._dependencies.cold.take(engine, self._work.service):
            raise UpstreamClosed(
                f"engine {engine.id} is cold; nothing was sent, use another engine"
            )

    def _may_run_again(self, *, after: int = 0) -> bool:
        """Whether the run may start anew after ``after`` further failed attempts."""
        route = self._work.route
        return (
            route.resumable
            and self._link.runs + after < route.max_upstreams
            and self._work.time_left() > route.target_latency / 4
        )

    async def _take_from_budget(self) -> None:
        """Take a retry from the budget unless this is the first attempt.

        Raises :exc:`Overloaded` if no retry is available.
        """
        if self._link.sends == 0:
            return
        service = self._work.service.name
        budget = self._dependencies.budget
        if self._link.sends >= MAX_SENDS or not await budget.take_or_borrow(service):
            raise Overloaded(
                "engines rejected the run and no further attempt is allowed; retry the "
                "request",
                retry_after=self._work.job.retry_after,
            )

    async def _answer(self, answer: Answer) -> str:
        """Send a complete response in place of a stream.

        Raises :exc:`StreamInterrupted` if the stream has already begun.
        """
        if self._reply.started:
            raise StreamInterrupted(
                f"the run could not be resumed: status {answer.status}; send a new "
                "request"
            )
        await self._reply.answer(answer)
        return f"{answer.status} after {self._link.sends} sends"

    async def _open(
        self,
        engine: Upstream,
        *,
        reservation: str | None = None,
        resume: Resume | None = None,
    ) -> Exchange:
        """Send the run to ``engine``, with a backup if the pool has spare memory."""
        backup = None
        if self._backup_fits:
            avoided = set(self._tried)
            if self._link.silent_engine is not None:
                avoided.add(self._link.silent_engine.id)
            backup = self._copies.choose_backup(engine, tried=avoided)
        return await self._link.open(
            engine, self._copies, backup=backup, reservation=reservation, resume=resume
        )

    # Forwarding events

    async def _forward_events(self) -> None:
        """Forward complete events until the end of the stream."""
        assert self._link.exchange is not None
        exchange = self._link.exchange
        while data := await self._read(exchange):
            await self._forwarder.feed(data, exchange.head)
            if self._forwarder.began:
                self._note_begun()
                self._start_copying()
        self._note_ended(exchange)
        await exchange.confirm_end(
            lambda: recourse_of(
                has_copy=bool(self._usable_copies()), may_repeat=self._may_run_again()
            )
        )
        self._forwarder.check_end(exchange.head)

    def _note_ended(self, exchange: Exchange) -> None:
        """Log what showed that the engine's response has ended without an error."""
        assert self._link.engine is not None
        framing = exchange.framing.value
        self._dependencies.metrics.stream_ends.inc({"framing": framing})
        self._log.write(
            "stream_ended",
            self._link.engine,
            "ended",
            framing=framing,
            resumes=self._resumes,
            events=self._forwarder.count,
            engine_events=self._forwarder.engine_events,
        )

    def _note_begun(self) -> None:
        """Record once that an engine got past the parts of the run's prompt."""
        if not self._begun and self._link.engine is not None:
            self._begun = True
            self._dependencies.crashes.note_begun(self._work, self._link.engine)

    async def _read(self, exchange: Exchange) -> bytes:
        engine = self._link.engine
        if engine is None or not self._reply.started or not self._usable_copies():
            return await exchange.read_available()
        return await self._silence_watch.read(exchange, engine, self._usable_copies)

    def _time_left(self) -> TimeLeft:
        """Return the time for the rest of the run, and what it needs at a copy."""
        seconds = self._work.job.demand.output * self._pace.token_seconds
        return TimeLeft(
            min(self._work.time_left(), self._context.stop.time_left()),
            begin=self._pace.resume_seconds,
            rest=max(0.0, seconds - self._forwarder.seconds),
        )

    def _start_copying(self) -> None:
        """Start keeping copies after the run's first event, if engines support it."""
        if self._copy_task is None and self._traits.copies_runs:
            copying = self._copies.maintain(tried=self._tried)
            self._copy_task = asyncio.create_task(copying)

    # Resuming on another engine

    async def _switch_to_copy(self, error: EngineSilent) -> Answer | None:
        """Resume at a copy if possible, otherwise stay with the silent engine.

        If the silent engine had to be left, the run continues as if it had failed.  It
        may only be overloaded, so the pool owner is not told to avoid it.
        """
        copies = self._usable_copies()
        splitter = self._forwarder.change_engine()
        silent = self._link.detach()
        self._log.write("stream_silent", silent.engine, "asking copies", error.message)
        elsewhere = [copy for copy in copies if copy.holder is not silent.engine]
        # One whose engine did not answer is tried only if nothing is lost by it.
        elsewhere.sort(key=lambda copy: copy.holder.id not in error.holders)
        for place, copy in enumerate(elsewhere):
            if copy.holder.id not in error.holders and not silent.left:
                continue
            if await self._resume_at(copy, copies_left=len(elsewhere) - place):
                self._dependencies.chooser.suspect(silent.engine)
                self._resumes += 1
                return None
        if silent.left:
            self._dependencies.chooser.suspect(silent.engine)
            if await self._resume_after_backoffs(copies, failed_at=boottime()):
                return None
            return await self._begin_again(error)
        self._link.attach(silent)
        self._copies.current = copies
        self._forwarder.restore_engine(splitter)
        return None

    def _usable_copies(self) -> list[Copy]:
        """Return the copies from which the run can be resumed.

        An engine can tell a resumed run from a new one only if it learns after which
        event to go on, so there are none before the caller received one.
        """
        return self._copies.current if self._forwarder.order.last is not None else []

    async def _leave_failed_engine(self, error: BankrackError) -> None:
        """Disconnect from an engine that failed and mark it as suspect."""
        failed_engine = self._link.engine
        self._link.disconnect()
        if failed_engine is not None:
            self._link.suspect(failed_engine)
            self._tried.add(failed_engine.id)
            self._log.write("stream_broke", failed_engine, "resuming", error.message)
            await self._link.note_failure(failed_engine, error)

    async def _continue(self, error: BankrackError) -> Answer | None:
        """Resume at a copy, or start anew after the last event if that is allowed.

        Returns a complete response if an engine sent one instead of a stream; raises
        :exc:`StreamInterrupted` if the run can't continue.
        """
        if await self._resume():
            return None
        return await self._begin_again(error)

    async def _begin_again(self, error: BankrackError) -> Answer | None:
        """Start anew after the last event, or raise :exc:`StreamInterrupted`."""
        if self._may_run_again():
            return await self._start()
        raise _interrupted(error) from error

    async def _resume(self) -> bool:
        """Resume the run at one of its copies; returns whether that succeeded."""
        copies = self._usable_copies()
        failed_at = boottime()
        for place, copy in enumerate(copies):
            if await self._resume_at(copy, copies_left=len(copies) - place):
                return self._note_resumed()
        return await self._resume_after_backoffs(copies, failed_at=failed_at)

    async def _resume_after_backoffs(
        self, copies: list[Copy], *, failed_at: float
    ) -> bool:
        """Resume at a copy that was not asked because its engine is backing off."""
        for copy in copies:
            if await self._resume_after_backoff(copy, failed_at):
                return self._note_resumed()
        self._dependencies.metrics.resumes.inc({"outcome": "lost"})
        return False

    def _note_resumed(self) -> bool:
        self._resumes += 1
        self._dependencies.metrics.resumes.inc({"outcome": "ok"})
        return True

    async def _resume_after_backoff(self, copy: Copy, failed_at: float) -> bool:
        """Resume at a copy after its engine's back-off, if the caller still waits then.

        This is the last attempt to continue the stream.
        """
        now = boottime()
        backoff_left = copy.holder.closed_until - now
        if not should_wait_for_backoff(
            backoff_left,
            silence=now - (self._forwarder.last_at or self._work.job.arrived),
            max_silence=self._work.max_silence,
            copy_kept=failed_at + (self._traits.copy_ttl or math.inf) - now,
        ):
            return False
        await asyncio.sleep(backoff_left)
        return await self._resume_at(copy, copies_left=1)

    def _resume_seconds(self, *, copies_left: int) -> float:
        """Return the timeout for resuming the run at a copy."""
        silence = boottime() - self._forwarder.last_at
        silence_left = self._work.max_silence - silence
        if copies_left > 1:
            return seconds_for_copy(
                silence_left,
                copies=copies_left,
                begin=self._pace.resume_seconds,
                limit=RESUME_TIMEOUT_SECONDS,
            )
        if self._may_run_again():
            return RESUME_TIMEOUT_SECONDS
        return max(RESUME_TIMEOUT_SECONDS, silence_left)

    async def _resume_at(self, copy: Copy, *, copies_left: int) -> bool:
        """Resume the run at a copy; returns whether that succeeded.

        :param copies_left: number of copies that may be tried, with this one.
        """
        holder = copy.holder
        obstacle = holder.resume_obstacle(boottime())
        if obstacle is not None:
            self._log.write("resume_refused", holder, obstacle)
            return False
        if not self._dependencies.cold.take(holder, self._work.service):
            self._log.write("resume_refused", holder, "cold")
            return False
        if not await self._dependencies.budget.take_or_borrow(self._work.service.name):
            self._log.write("resume_refused", holder, "budget")
            return False
        resume = Resume(copy.source, copy.handle)
        began_at = boottime()
        try:
            async with asyncio.timeout(self._resume_seconds(copies_left=copies_left)):
                exchange = await self._open(holder, resume=resume)
        except (BankrackError, TimeoutError) as error:
            self._link.disconnect()
            self._log.write("resume_refused", holder, "failed", repr(error))
            await self._link.note_failure(holder, error)
            return False
        if exchange.head.status != 200:
            exchange.close()
            self._link.disconnect()
            self._log.write("resume_refused", holder, str(exchange.head.status), "")
            return False
        self._link.exchange = exchange
        self._pace.resumed(boottime() - began_at)
        return True


def _interrupted(error: BankrackError) -> StreamInterrupted:
    return StreamInterrupted(
        "the engine failed and the run could not be resumed from a copy; send a new "
        f"request ({error.message})",
        ended_by=error.ended_by,
    )
