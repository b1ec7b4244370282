"""Asks a silent engine whether it still has a run, and the holders of its copies."""

import asyncio
import dataclasses
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.silentengines import EngineAnswer
from bankrack.decisions.silentengines import NotAsked
from bankrack.decisions.silentengines import RunListed
from bankrack.decisions.silentengines import RunNotListed
from bankrack.decisions.silentengines import RunsNotStated
from bankrack.decisions.silentengines import Unanswered
from bankrack.exceptions import AnswerUnusable
from bankrack.exceptions import BankrackError
from bankrack.exceptions import UpstreamClosed
from bankrack.exceptions import UpstreamRefused
from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.copies import Copy
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream

ASK_SECONDS = 0.25
"""Time for an answer.  Reports take no slot, so an engine answers at once if it can."""
MAX_TIMER_DELAY_SECONDS = 0.1
"""Delay of the timeout from which on the node itself stood still."""


@dataclasses.dataclass(slots=True, frozen=True)
class Answers:
    """What a silent engine and the holders of its run's copies have answered.

    :param holders: ids of the holders that answered.
    :param silent_holders: ids of those that did not.
    """

    engine: EngineAnswer
    holders: frozenset[str]
    silent_holders: frozenset[str] = frozenset()


class EngineInquiry:
    """Asks engines for their reports on behalf of one run."""

    __slots__ = ("_control", "_log", "_run_id")

    def __init__(self, control: EngineControl, run_id: str, log: RunLog) -> None:
        self._control = control
        self._run_id = run_id
        self._log = log

    async def ask(
        self, engine: Upstream, copies: t.Sequence[Copy], *, sent_at: float
    ) -> Answers:
        """Ask all at once; ends after :data:`ASK_SECONDS`.

        :param sent_at: boot-time seconds when the run was sent to the engine.
        """
        holders = [
            copy.holder
            for copy in copies
            if copy.holder is not engine and not copy.holder.removed_at
        ]
        answer, *answers = await asyncio.gather(
            self._ask(engine, sent_at=sent_at),
            *(self._ask(holder) for holder in holders),
        )
        answered = frozenset(
            holder.id
            for holder, found in zip(holders, answers, strict=True)
            if not isinstance(found, Unanswered | NotAsked)
        )
        self._log.write(
            "silent_engine_asked",
            engine,
            _name(answer),
            holders=",".join(holder.id for holder in holders) or None,
            holders_answered=",".join(sorted(answered)) or None,
            tokens=answer.tokens if isinstance(answer, RunListed) else None,
        )
        asked = frozenset(holder.id for holder in holders)
        return Answers(answer, answered, asked - answered)

    async def _ask(self, engine: Upstream, *, sent_at: float = 0.0) -> EngineAnswer:
        due = boottime() + ASK_SECONDS
        try:
            async with asyncio.timeout(ASK_SECONDS):
                report = await self._control.report(engine)
        except (UpstreamClosed, UpstreamRefused, AnswerUnusable):
            return NotAsked()
        except (BankrackError, TimeoutError) as error:
            if boottime() - due > MAX_TIMER_DELAY_SECONDS:
                # This node stood still, and may not have read the answer.
                return NotAsked()
            self._log.write("engine_unanswered", engine, "failed", repr(error))
            return Unanswered()
        return self._read(engine, report, sent_at)

    def _read(
        self, engine: Upstream, report: EngineReport, sent_at: float
    ) -> EngineAnswer:
        if report.born is not None and engine.record.born not in (None, report.born):
            return Unanswered()
        tokens = report.tokens_by_run.get(self._run_id)
        if tokens is not None:
            return RunListed(tokens)
        # The state that is reported may be older than the run.
        may_lack_run = report.taken - REPORT_LAG_SECONDS < sent_at
        if may_lack_run or not report.lists_runs:
            return RunsNotStated()
        return RunNotListed()


def _name(answer: EngineAnswer) -> str:
    match answer:
        case Unanswered():
            return "unanswered"
        case NotAsked():
            return "not asked"
        case RunListed():
            return "listed"
        case RunNotListed():
            return "not listed"
        case RunsNotStated():
            return "not stated"
