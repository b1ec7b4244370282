"""Confirms the ends of responses that only the ends of their connections show."""

import asyncio
import logging

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.responseends import Answered
from bankrack.decisions.responseends import doubt
from bankrack.decisions.responseends import Evidence
from bankrack.decisions.responseends import Instance
from bankrack.decisions.responseends import LeftUnread
from bankrack.decisions.responseends import MAX_UNREAD_SECONDS
from bankrack.decisions.responseends import Unanswered
from bankrack.exceptions import BankrackError
from bankrack.exceptions import UpstreamDisconnected
from bankrack.metrics import GatewayMetrics
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.permits import Permits
from bankrack.serving.upstreams import Upstream

ANSWER_TIMEOUT_SECONDS = 1.0
"""Time in which an upstream must show that it lives on behind its response."""
GATHER_SECONDS = 0.005
"""Time in which the ends of an upstream's responses wait for a shared question, as the
end of a process ends them all at once."""
RANK = -1
"""Rank of the question for permits: a response that was served would be lost."""

_logger = logging.getLogger(__name__)


class ResponseEnds:
    """Asks upstreams whether they live on behind the ends of their responses.

    :param permits: of upstreams' rate limits, which count every request.
    """

    def __init__(
        self, control: EngineControl, permits: Permits, metrics: GatewayMetrics
    ) -> None:
        self._control = control
        self._permits = permits
        self._metrics = metrics
        self._waiting_by_id: dict[str, asyncio.Task[Evidence]] = {}
        self._questions: set[asyncio.Task[Evidence]] = set()

    async def confirm(
        self,
        upstream: Upstream,
        health_path: str,
        unread_seconds: float,
        *,
        request: str,
    ) -> None:
        """Raise :exc:`UpstreamDisconnected` if a response may be incomplete.

        :param health_path: health path of the service, empty if unknown.
        :param unread_seconds: longest time for which the response was not read.
        :param request: id of the request, for the log.
        """
        ended_at = boottime()
        evidence: Evidence = LeftUnread(unread_seconds)
        if unread_seconds < MAX_UNREAD_SECONDS:
            evidence = await self._ask_from_now(upstream, health_path)
        reason = doubt(Instance(upstream.name, upstream.record.born), evidence)
        outcome = "whole" if reason is None else "cut"
        self._metrics.response_ends.inc({"outcome": outcome})
        logs.event(
            _logger,
            "response_end_checked",
            request=request,
            upstream=upstream.id,
            address=upstream.address,
            leaving=upstream.leaving,
            removed=bool(upstream.removed_at),
            unread=unread_seconds,
            whole=reason is None,
            took=boottime() - ended_at,
        )
        if reason is not None:
            logs.event(
                _logger,
                "response_cut",
                request=request,
                upstream=upstream.id,
                reason=reason,
            )
            raise UpstreamDisconnected(
                f"upstream {upstream.id} may have ended with its connection ({reason}),"
                " so its response may be incomplete; send the request again if that is "
                "safe"
            )

    async def close(self) -> None:
        """Stop asking."""
        questions = list(self._questions)
        for question in questions:
            question.cancel()
        await asyncio.gather(*questions, return_exceptions=True)

    async def _ask_from_now(self, upstream: Upstream, health_path: str) -> Evidence:
        """Ask an upstream, together with other ends that wait for the question.

        A question that is already under way may be answered from before this end.
        """
        question = self._waiting_by_id.get(upstream.id)
        if question is None:
            question = asyncio.create_task(self._ask(upstream, health_path))
            self._waiting_by_id[upstream.id] = question
            self._questions.add(question)
            question.add_done_callback(self._questions.discard)
        return await asyncio.shield(question)

    async def _ask(self, upstream: Upstream, health_path: str) -> Evidence:
        await asyncio.sleep(GATHER_SECONDS)
        del self._waiting_by_id[upstream.id]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return Answered(await self._identify(upstream, health_path))
        except TimeoutError:
            return Unanswered(f"no answer within {ANSWER_TIMEOUT_SECONDS:g} s")
        except BankrackError as error:
            return Unanswered(error.message)

    async def _identify(self, upstream: Upstream, health_path: str) -> Instance:
        """Ask which instance answers at an upstream's address."""
        while upstream.limit.bounded:
            wait = await self._permits.take(upstream, rank=RANK)
            if not wait:
                break
            await asyncio.sleep(wait)
        name = None
        if health_path:
            name = await self._control.identify(upstream, health_path)
        if upstream.record.born is None:
            return Instance(name)
        # The name is the same in all lives of such an upstream.
        report = await self._control.report(upstream)
        return Instance(name, report.born)
