"""Relay of plain requests, which are retried only if that is safe."""

import asyncio
import functools
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.responseends import Recourse
from bankrack.decisions.responseends import recourse_of
from bankrack.exceptions import Overloaded
from bankrack.exceptions import UpstreamClosed
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.assignment import Assignment
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.client import Exchange
from bankrack.serving.client import Send
from bankrack.serving.client import whole_answer
from bankrack.serving.job import Answer
from bankrack.serving.job import Reply
from bankrack.serving.job import RequestKind
from bankrack.serving.relay import RelayDependencies
from bankrack.serving.upstreams import Upstream

MAX_SENDS = 4
"""Bounds the attempts of one request, including rejected ones."""
MAX_UNREACHABLE = 4
"""Bounds the upstreams that could not be reached before the request is refused."""
FIRST_ATTEMPT_TARGETS = 1.5
"""Timeout of the first attempt of a repeatable request, in target latencies."""

_logger = logging.getLogger(__name__)


class PlainRelay:
    """Relays plain requests to upstreams and their responses to callers."""

    def __init__(self, dependencies: RelayDependencies) -> None:
        self._dependencies = dependencies

    async def serve(self, work: Assignment, reply: Reply) -> str:
        """Serve one request; returns the outcome for the log."""
        attempts = _Attempts(work)
        while True:
            try:
                upstream = await self._next(work, attempts)
            except Overloaded as error:
                if attempts.runs == 0:
                    raise
                earlier = _answer_after_runs(attempts, error)
                await reply.answer(earlier)
                return attempts.outcome(earlier)
            try:
                answer = await self._send(work, upstream, attempts)
            except UpstreamClosed as error:
                # Not suspected: the upstream did not fail, it accepts nothing now.
                attempts.avoid.add(upstream.id)
                self._log(work, upstream, "closed", error.message)
                continue
            except UpstreamUnreachable as error:
                self._dependencies.chooser.suspect(upstream)
                self._dependencies.outliers.note_unreachable(upstream)
                attempts.unreachable(upstream)
                self._log(work, upstream, "unreachable", error.message)
                continue
            except UpstreamFailed as error:
                self._dependencies.chooser.suspect(upstream)
                self._dependencies.failures.note_unanswered(
                    upstream, request=work.fingerprint
                )
                attempts.ran(upstream)
                self._log(work, upstream, "failed", error.message)
                await self._dependencies.crashes.note_failure(
                    work, upstream, error, ran=None
                )
                if self._may_repeat(work, attempts):
                    continue
                if attempts.last_answer is None:
                    raise
                await reply.answer(attempts.last_answer)
                return attempts.outcome(attempts.last_answer)
            if answer is None:
                self._dependencies.chooser.rejected(upstream)
                attempts.rejected(upstream)
                self._log(work, upstream, "rejected", "")
                continue
            self._dependencies.crashes.note_served(work, upstream)
            failed = answer.status >= 500
            self._dependencies.chooser.answered(upstream, failed=failed)
            if failed:
                attempts.failed_with(upstream, answer)
                if self._may_repeat(work, attempts):
                    self._log(work, upstream, "failed", str(answer.status))
                    continue
            self._note_answered(work, upstream, attempts, failed=failed)
            await reply.answer(answer)
            return f"{answer.status} after {attempts.count} sends, by {upstream.id}"

    def _note_answered(
        self,
        work: Assignment,
        upstream: Upstream,
        attempts: "_Attempts",
        *,
        failed: bool,
    ) -> None:
        """Record what the last answer tells of the upstreams that were tried.

        A 5xx of several upstreams is due to the request.  It speaks against one if
        another served the request, or if none other was tried.
        """
        outliers = self._dependencies.outliers
        if not failed:
            outliers.note_served(upstream, request=work.fingerprint)
        if not failed or work.route.kind is not RequestKind.REPEATABLE:
            for other in attempts.answered_5xx:
                outliers.note_failed(other, answered=True, request=work.fingerprint)

    async def _next(self, work: Assignment, attempts: "_Attempts") -> Upstream:
        """Choose the next upstream; raises :exc:`Overloaded` if there is none."""
        if attempts.unreachable_left <= 0 or attempts.count >= MAX_SENDS:
            raise Overloaded(
                "no upstream accepted the request; retry it",
                retry_after=work.job.retry_after,
            )
        cold = self._dependencies.cold
        available = self._dependencies.upstreams.available_of(work.service.name)
        candidates = [u for u in available if cold.allows(u, work.service)]
        if len(attempts.ran_ids) >= work.route.max_upstreams:
            candidates = [
                u for u in candidates if u.id in attempts.ran_ids
            ] or candidates
        candidates = await self._with_room(work, candidates)
        repeatable = work.route.kind is RequestKind.REPEATABLE
        if not repeatable:
            candidates = self._without_excluded(work, candidates)
        upstream = self._dependencies.chooser.plain(
            candidates,
            avoid=attempts.avoid,
            repeatable=repeatable,
            may_retest=repeatable and self._may_retest(work, attempts, candidates),
        )
        if upstream is None:
            backoff_left = self._dependencies.upstreams.backoff_left(work.service.name)
            raise Overloaded(
                f"service {work.service.name} has no available upstream "
                f"({len(available)} are cold, the others are shutting down or asked "
                "this node to back off); retry the request",
                retry_after=work.retry_after(backoff_left),
            )
        budget = self._dependencies.budget
        if attempts.count > 0 and not await budget.take_or_borrow(work.service.name):
            raise Overloaded(
                "upstreams rejected the request and the retry budget is exhausted; "
                "retry the request",
                retry_after=work.job.retry_after,
            )
        return upstream

    def _without_excluded(
        self, work: Assignment, candidates: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams that a request that can't be repeated may be sent to.

        One that fails requests would lose it, while the caller of a refusal may return
        once another upstream, which only asks for back-off for a moment, is available.
        """
        now = boottime()
        open_upstreams = self._dependencies.upstreams.open_of(work.service.name)
        if all(upstream.excluded(now) for upstream in open_upstreams):
            return candidates
        return [upstream for upstream in candidates if not upstream.excluded(now)]

    def _may_retest(
        self, work: Assignment, attempts: "_Attempts", candidates: t.Iterable[Upstream]
    ) -> bool:
        """Whether a repeatable request could still be retried after a failed retest."""
        return (
            attempts.count == 0
            and work.route.max_upstreams > 1
            and any(upstream.excluded_until for upstream in candidates)
            and self._dependencies.budget.allowed(work.service.name) >= 1.0
        )

    async def _with_room(
        self, work: Assignment, candidates: list[Upstream]
    ) -> list[Upstream]:
        """Return the upstreams that the request's body may be sent to now.

        Large bodies wait for each other for a short time.  Raises :exc:`Overloaded`.
        """
        in_flight = self._dependencies.client.in_flight
        size = len(work.job.body)
        fitting = [u for u in candidates if in_flight.fits(u.id, size)]
        if fitting or not candidates:
            return fitting
        seconds = min(work.time_left(), work.route.target_latency) / 4
        ids = [upstream.id for upstream in candidates]
        if not await in_flight.wait_for_room(ids, size, seconds=seconds):
            raise Overloaded(
                f"other large bodies are on their way to all upstreams of service "
                f"{work.service.name}; retry the request",
                retry_after=work.job.retry_after,
            )
        return [u for u in candidates if in_flight.fits(u.id, size)]

    async def _send(
        self, work: Assignment, upstream: Upstream, attempts: "_Attempts"
    ) -> Answer | None:
        """Make one attempt; ``None`` if the upstream states that it did not run it."""
        self._dependencies.crashes.refuse_unless_allowed(
            work, upstream, sent=attempts.count > 0
        )
        self._dependencies.metrics.sends.inc(
            {"service": work.service.name, "kind": "plain"}
        )
        send = Send(
            job=work.job,
            upstream=upstream,
            workspace=work.workspace,
            priority=work.priority,
            time_left=work.time_left(),
            health_path=work.service.health_path,
        )
        if not self._dependencies.cold.take(upstream, work.service):
            raise UpstreamClosed(
                f"upstream {upstream.id} became cold; use another upstream"
            )
        upstream.in_flight += 1
        exchange: Exchange | None = None
        sent_at = boottime()
        progress = CallProgress(lambda: work.sends.upstreams.append(upstream.id))
        try:
            async with asyncio.timeout(self._attempt_seconds(work, attempts)) as limit:
                exchange = await self._dependencies.client.open(send, progress)
                head = exchange.head
                recourse = functools.partial(
                    self._recourse, work, upstream, attempts, limit
                )
                body = None if head.not_run else await exchange.read(recourse)
        except asyncio.CancelledError:
            # The deadline of the whole request may pass first.
            self._note_deadline(work, upstream, sent_at)
            raise
        except TimeoutError as error:
            if work.time_left() <= 0.0:
                self._note_deadline(work, upstream, sent_at)
                raise
            attempts.count += 1
            raise UpstreamFailed("the upstream did not respond in time") from error
        except UpstreamFailed:
            attempts.count += 1
            raise
        finally:
            upstream.in_flight -= 1
            if exchange is not None:
                exchange.close()
        attempts.count += 1
        if body is None:
            work.sends.rejected += 1
            return None
        repeatable = work.route.kind is RequestKind.REPEATABLE
        return whole_answer(head, body, repeatable=repeatable)

    def _recourse(
        self,
        work: Assignment,
        upstream: Upstream,
        attempts: "_Attempts",
        limit: asyncio.Timeout,
    ) -> Recourse:
        """Return what can serve a request whose response is in doubt.

        If nothing can, the attempt has all the time that is left.

        :param limit: the time-out of the attempt.
        """
        others = self._dependencies.upstreams.available_of(work.service.name)
        may_repeat = self._may_repeat(work, attempts, after=1) and any(
            other.id not in attempts.avoid for other in others if other is not upstream
        )
        if not may_repeat:
            extend(limit, work.time_left())
        return recourse_of(has_copy=False, may_repeat=may_repeat)

    def _note_deadline(
        self, work: Assignment, upstream: Upstream, sent_at: float
    ) -> None:
        """Record that an upstream did not respond before the caller's deadline.

        It speaks against the upstream only if it had the time in which requests of the
        route are usually served.
        """
        waited = boottime() - sent_at
        if work.time_left() <= 0.0 and waited >= work.route.target_latency:
            self._dependencies.failures.note_unanswered(
                upstream, request=work.fingerprint
            )

    def _attempt_seconds(self, work: Assignment, attempts: "_Attempts") -> float:
        left = work.time_left()
        if work.route.kind is not RequestKind.REPEATABLE or attempts.count > 0:
            return left
        return min(
            left, max(FIRST_ATTEMPT_TARGETS * work.route.target_latency, left / 3)
        )

    def _may_repeat(
        self, work: Assignment, attempts: "_Attempts", *, after: int = 0
    ) -> bool:
        """Whether a request that ran or may have run can be retried.

        :param after: further runs that are not counted yet.
        """
        return (
            work.route.kind is RequestKind.REPEATABLE
            and attempts.runs + after < work.route.max_upstreams
            and work.time_left() > work.route.target_latency / 4
            and self._dependencies.budget.allowed(work.service.name) >= 1.0
        )

    def _log(
        self, work: Assignment, upstream: Upstream, outcome: str, reason: str
    ) -> None:
        logs.event(
            _logger,
            "attempt_ended",
            request=work.job.id,
            upstream=upstream.id,
            address=upstream.address,
            outcome=outcome,
            reason=reason,
            elapsed=boottime() - work.job.arrived,
        )


def extend(limit: asyncio.Timeout, seconds: float) -> None:
    """Let a time-out pass in some seconds, unless it has passed."""
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time() + seconds)


def _answer_after_runs(attempts: "_Attempts", error: Overloaded) -> Answer:
    """Return the response of an earlier attempt; raises if there was none.

    A request that may have run must not be reported as not run.
    """
    if attempts.last_answer is not None:
        return attempts.last_answer
    raise UpstreamFailed(
        f"an upstream failed and may have run the request ({error.message})"
    ) from error


class _Attempts:
    """State of the attempts of one request."""

    __slots__ = (
        "answered_5xx",
        "avoid",
        "count",
        "last_answer",
        "last_answer_by",
        "ran_ids",
        "runs",
        "unreachable_left",
    )

    def __init__(self, work: Assignment) -> None:
        self.answered_5xx: list[Upstream] = []
        self.avoid: set[str] = set()
        self.ran_ids: set[str] = set()
        self.runs = 0
        self.count = 0
        self.unreachable_left = MAX_UNREACHABLE
        self.last_answer: Answer | None = None
        self.last_answer_by = ""

    def failed_with(self, upstream: Upstream, answer: Answer) -> None:
        """Record a 5xx answer, which is forwarded if no upstream serves the request."""
        self.ran(upstream)
        self.answered_5xx.append(upstream)
        self.last_answer = answer
        self.last_answer_by = upstream.id

    def outcome(self, answer: Answer) -> str:
        """Describe the last answer, for the log."""
        return f"{answer.status} after {self.count} sends, by {self.last_answer_by}"

    def unreachable(self, upstream: Upstream) -> None:
        self.avoid.add(upstream.id)
        self.unreachable_left -= 1

    def rejected(self, upstream: Upstream) -> None:
        self.avoid.add(upstream.id)

    def ran(self, upstream: Upstream) -> None:
        self.avoid.add(upstream.id)
        self.ran_ids.add(upstream.id)
        self.runs += 1
