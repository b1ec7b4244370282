"""Confirms the ends of responses that only the ends of their connections show."""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import math

import aiohttp

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.responseends import Answered
from bankrack.decisions.responseends import cut_evidence
from bankrack.decisions.responseends import doubt
from bankrack.decisions.responseends import Evidence
from bankrack.decisions.responseends import Instance
from bankrack.decisions.responseends import LeftUnread
from bankrack.decisions.responseends import MAX_UNREAD_SECONDS
from bankrack.decisions.responseends import NoRecourse
from bankrack.decisions.responseends import NotAskable
from bankrack.decisions.responseends import patience
from bankrack.decisions.responseends import pause_before_question
from bankrack.decisions.responseends import Recourse
from bankrack.decisions.responseends import Refused
from bankrack.decisions.responseends import time_alone
from bankrack.decisions.responseends import Unanswered
from bankrack.exceptions import BankrackError
from bankrack.exceptions import ResponseDoubted
from bankrack.metrics import GatewayMetrics
from bankrack.serving.doubtedends import DoubtedEnds
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.permits import Permits
from bankrack.serving.upstreams import Upstream

BATCH_SECONDS = 0.005
"""Time in which the ends of an upstream's responses wait for a shared check, as the
end of a process ends them all at once."""
MAX_BLOCKS = 8
"""Times at which the event loop was blocked that are remembered."""
PERMIT_RANK = -1
"""Rank of the check for permits: a response that was served would be lost."""
MAX_PERMIT_WAIT_SECONDS = 0.25
"""Pause before a permit is asked for again: requests of other nodes, which ask when
their waits are over, take those that become free meanwhile."""

_NODE_ENDS = NotAskable("this node ends and asks no more")
_NODE_ENDS_SOON = NotAskable("this node ends soon, and another upstream can serve it")
_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class EndedResponse:
    """A response that the end of its connection ended.

    :param request: id of the request, for the log.
    :param health_path: health path of the upstream's service, empty if unknown.
    :param sent_at: boot-time seconds when the request was sent.
    :param unread: longest time for which it was not read, in seconds.
    :param time_left: seconds of the upstream's time that are left.
    :param recourse: what else can serve the request.
    """

    request: str
    health_path: str
    sent_at: float
    unread: float = 0.0
    time_left: float = math.inf
    recourse: Recourse = dataclasses.field(default_factory=NoRecourse)


class ResponseEnds:
    """Checks whether upstreams are still alive after their responses ended.

    :param permits: of upstreams' rate limits, which count every request.
    """

    def __init__(
        self, control: EngineControl, permits: Permits, metrics: GatewayMetrics
    ) -> None:
        self._control = control
        self._permits = permits
        self._metrics = metrics
        self._closed = False
        self._hurried = asyncio.Event()
        self._doubted = DoubtedEnds()
        self._pending_by_id: dict[str, asyncio.Task[None]] = {}
        self._checks_by_id: dict[str, set[asyncio.Task[None]]] = {}
        self._blocks: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_BLOCKS
        )

    def note_blocked(self, seconds: float) -> None:
        """Record that this node's event loop has just been blocked."""
        if seconds >= MAX_UNREAD_SECONDS:
            now = boottime()
            self._blocks.append((now - seconds, now))

    async def confirm(self, upstream: Upstream, response: EndedResponse) -> None:
        """Raise :exc:`ResponseDoubted` if a response may be incomplete."""
        ended_at = boottime()
        evidence = cut_evidence(unread=response.unread, time_left=response.time_left)
        if evidence is None:
            evidence = await self._find_proof(upstream, response, ended_at)
        # Known only now, as the connection is served before the timers.
        for began, ended in self._blocks:
            if ended >= response.sent_at and began <= ended_at:
                evidence = LeftUnread(ended - began)
        reason = doubt(_instance(upstream), evidence)
        outcome = "whole" if reason is None else "cut"
        self._metrics.response_ends.inc({"outcome": outcome})
        logs.event(
            _logger,
            "response_end_checked",
            request=response.request,
            upstream=upstream.id,
            address=upstream.address,
            leaving=upstream.leaving,
            removed=bool(upstream.removed_at),
            unread=response.unread,
            time_left=response.time_left,
            recourse=response.recourse.name,
            whole=reason is None,
            took=boottime() - ended_at,
        )
        if reason is not None:
            logs.event(
                _logger,
                "response_cut",
                request=response.request,
                upstream=upstream.id,
                reason=reason,
            )
            raise ResponseDoubted(
                f"upstream {upstream.id} may have ended with its connection ({reason}),"
                " so its response may be incomplete; send the request again if that is "
                "safe"
            )

    def hurry(self) -> None:
        """Settle what is in doubt soon, as this node ends."""
        if not self._hurried.is_set():
            self._hurried.set()
            self._doubted.give_up_for_others(_NODE_ENDS_SOON)

    async def close(self) -> None:
        """Stop asking; responses that are in doubt stay so."""
        self._closed = True
        self._doubted.settle_all(_NODE_ENDS)
        checks = [task for tasks in self._checks_by_id.values() for task in tasks]
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    def note_answer(self, upstream: Upstream, *, sent_at: float, healthy: bool) -> None:
        """Take an answer to a request on a connection of its own as a proof.

        The request names the instance that is to answer it.  The next life of an
        upstream that keeps its name would answer it as well.

        :param sent_at: boot-time seconds when the request was sent.
        :param healthy: the answer is neither a failure nor announces the end.
        """
        if upstream.record.born is None:
            answer = Answered(Instance(upstream.name), healthy)
            self._doubted.deliver(upstream.id, answer, asked_at=sent_at)

    async def _find_proof(
        self, upstream: Upstream, response: EndedResponse, ended_at: float
    ) -> Evidence:
        """Ask an upstream, together with other ends that wait for the check."""
        if self._closed:
            return _NODE_ENDS
        if not response.health_path:
            return NotAskable("its service has no health path to ask at")
        seconds = patience(
            response.recourse,
            time_left=response.time_left,
            hurried=self._hurried.is_set(),
        )
        try:
            with self._doubted.doubting(
                upstream.id,
                _instance(upstream),
                at=ended_at,
                recourse=response.recourse,
            ) as end:
                if upstream.id not in self._pending_by_id:
                    self._start_check(upstream, response.health_path)
                return await end.wait(seconds)
        finally:
            if not self._doubted.is_any(upstream.id):
                self._stop_checks(upstream.id)

    def _start_check(self, upstream: Upstream, health_path: str) -> None:
        check = asyncio.create_task(self._check(upstream, health_path))
        self._pending_by_id[upstream.id] = check
        checks = self._checks_by_id.setdefault(upstream.id, set())
        checks.add(check)
        check.add_done_callback(checks.discard)

    def _stop_checks(self, upstream_id: str) -> None:
        """Leave the questions for whose answers no response waits any more."""
        self._pending_by_id.pop(upstream_id, None)
        for check in self._checks_by_id.pop(upstream_id, ()):
            check.cancel()

    async def _check(self, upstream: Upstream, health_path: str) -> None:
        """Ask which instance answers until that settles all ends that wait for it."""
        await asyncio.sleep(BATCH_SECONDS)
        del self._pending_by_id[upstream.id]
        newest_end = boottime()
        async with asyncio.TaskGroup() as questions:
            while self._doubted.is_any(upstream.id, before=newest_end):
                await self._take_permit(upstream)
                asked_at = boottime()
                behind = asked_at - newest_end
                question = questions.create_task(self._ask(upstream, health_path))
                await asyncio.wait([question], timeout=time_alone(behind=behind))
                if not question.done():
                    continue
                pause = pause_before_question(
                    _instance(upstream),
                    question.result(),
                    behind=behind,
                    now=boottime() - newest_end,
                    hurried=self._hurried.is_set(),
                )
                await self._pause(pause)

    async def _pause(self, seconds: float) -> None:
        """Wait; the time is cut short as this node begins to hurry."""
        if self._hurried.is_set():
            await asyncio.sleep(seconds)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._hurried.wait()

    async def _ask(self, upstream: Upstream, health_path: str) -> Evidence:
        """Ask once which instance answers, and settle the ends that this settles."""
        asked_at = boottime()
        evidence = await self._identify(upstream, health_path)
        self._doubted.deliver(upstream.id, evidence, asked_at=asked_at)
        return evidence

    async def _identify(self, upstream: Upstream, health_path: str) -> Evidence:
        """Return which instance answers at an upstream's address."""
        try:
            health = await self._control.identify(upstream, health_path)
            born = None
            if upstream.record.born is not None and health.name is not None:
                # The name is the same in all lives of such an upstream.
                born = (await self._control.report(upstream)).born
        except BankrackError as error:
            return _failure(error)
        return Answered(Instance(health.name, born), health.healthy)

    async def _take_permit(self, upstream: Upstream) -> None:
        while upstream.limit.bounded:
            wait = await self._permits.take(upstream, rank=PERMIT_RANK)
            if not wait:
                return
            missing = Unanswered(f"no permit of its rate limit for {wait:.2f} s")
            self._doubted.deliver(upstream.id, missing, asked_at=boottime())
            await asyncio.sleep(min(wait, MAX_PERMIT_WAIT_SECONDS))


def _instance(upstream: Upstream) -> Instance:
    return Instance(upstream.name, upstream.record.born)


def _failure(error: BankrackError) -> Evidence:
    """Tell an address at which nothing listens from one that only does not answer."""
    match error.__cause__:
        case aiohttp.ClientConnectorError(os_error=ConnectionRefusedError()):
            return Refused(error.message)
        case _:
            return Unanswered(error.message)
