"""Runs one request on the engines, from placement to the last token.

Before the first token a request may be retried on another engine if it is
repeatable or if the engine did not run it.  After the first token only the same
generation may continue: it is resumed on the same engine, or ends with a typed
error.
"""

import asyncio
import logging
import math
import typing as t
import uuid

import aiohttp

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.intent import Upstream
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidUpstreamData
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import Outcome
from bankrack.exceptions import StreamInterrupted
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamRefused
from bankrack.exceptions import UpstreamUnreachable
from bankrack.generations.engine import Attempt
from bankrack.generations.jobs import GenerationContext
from bankrack.generations.jobs import Job
from bankrack.generations.stream import StreamCheck
from bankrack.generations.stream import StreamState
from bankrack.generations.stream import Token
from bankrack.scheduling.slots import EngineSlot

MAX_ATTEMPTS = 4
RESUME_INTERVAL_SECONDS = 0.1
RESUME_TIMEOUT_SECONDS = 2.0
RETRYABLE_RESUME_WINDOW_SECONDS = 0.5
"""Resume window while the request can still be retried on another engine."""
MAX_RESUMES_WITHOUT_PROGRESS = 4
"""Consecutive resumes without a token before the generation fails."""
_RETRYABLE_ERRORS = (
    UpstreamUnreachable,
    UpstreamRefused,
    UpstreamFailed,
    InvalidUpstreamData,
)
_logger = logging.getLogger(__name__)


Deliver = t.Callable[[list[Token]], t.Awaitable[None]]


class Generation:
    """Runs one job and delivers its tokens, each once and in order.

    :param claim: called once, after placement and before the first dispatch, for a
        job that must not be repeated; raises if the job must not be sent.
    :ivar continuable: the caller can continue the stream at another node.
    """

    def __init__(
        self,
        context: GenerationContext,
        job: Job,
        *,
        claim: t.Callable[[], t.Awaitable[None]] | None = None,
    ) -> None:
        self._context = context
        self._job = job
        self._claim = claim
        self._uncertain = False
        self._may_have_run = False
        self.continuable = False
        self._response: aiohttp.ClientResponse | None = None
        self.placement: EngineSlot | None = None
        self.upstream: Upstream | None = None
        self.check = StreamCheck("")
        self.resumes = 0
        self.reading_since = math.inf
        self._resumed_offset = -1
        self._resumes_without_progress = 0

    @classmethod
    def continued(
        cls,
        context: GenerationContext,
        job: Job,
        upstream: Upstream,
        check: StreamCheck,
    ) -> "Generation":
        """Create a generation that continues one started on another connection."""
        generation = cls(context, job)
        generation.upstream = upstream
        generation.check = check
        generation._may_have_run = True
        generation.continuable = True
        return generation

    @property
    def may_have_run(self) -> bool:
        """Whether an engine has the job, or had it and did not reject it."""
        return self._may_have_run or self._uncertain

    async def run(self, deliver: Deliver) -> None:
        """Run the generation and deliver its tokens as they arrive.

        :raises BankrackError: if the response could not be completed.
        """
        self._context.reading.add(self)
        try:
            if self.upstream is None:
                await deliver(await self._start())
            elif self.placement is None:
                self.placement = self._context.admission.adopt(
                    self._job.ask, self.upstream, self.check.offset
                )
            while self.check.state is not StreamState.DONE:
                if self._response is None:
                    await self._resume_or(
                        self._interruption_error("the connection was cut")
                    )
                await self._relay(deliver)
        finally:
            self._context.reading.discard(self)
            self._close()

    async def _relay(self, deliver: Deliver) -> None:
        """Deliver the tokens of one connection; reconnect if it fails.

        Every token takes this path, so each chunk costs one read, one check and
        one write.
        """
        assert self._response is not None
        content = self._response.content
        check = self.check
        placement = self.placement
        try:
            while check.state is not StreamState.DONE:
                self.reading_since = boottime()
                chunk = await content.readany()
                self.reading_since = math.inf
                if not chunk:
                    raise _connection_closed_error(self._upstream())
                tokens = check.feed(chunk)
                if placement is not None:
                    placement.produced = check.offset
                if tokens:
                    await deliver(tokens)
                    check.raise_failure()
            return
        except (aiohttp.ClientError, UpstreamFailed):
            reason = "the connection was cut"
        except InvalidUpstreamData as error:
            reason = error.message
        self.reading_since = math.inf
        if check.state is not StreamState.DONE:
            await self._resume_or(self._interruption_error(reason))

    def interrupt(self) -> None:
        """Close the connection, so that the reader resumes on a new one."""
        if self._response is not None:
            self._response.close()

    async def _start(self) -> list[Token]:
        """Try engines until one sends a first token, and return its first tokens."""
        tried: list[str] = []
        while True:
            try:
                return await self._try_engine(tried)
            except _RETRYABLE_ERRORS as error:
                self._release_placement()
                self._record_failure(error)
                self._uncertain = error.outcome is not Outcome.NOT_RUN
                self._may_have_run = self._may_have_run or self._uncertain
                if not self._may_retry(error, len(tried)):
                    self._correct_outcome(error)
                    raise
            except BankrackError as error:
                self._correct_outcome(error)
                raise

    async def _try_engine(self, tried: list[str]) -> list[Token]:
        self.upstream = None
        self.placement = await self._context.admission.place(
            self._job.ask, avoid=tuple(tried)
        )
        self.upstream = self.placement.upstream
        tried.append(self.upstream.name)
        await self._claim_once()
        await self._check_not_leaving()
        return await self._read_first_tokens()

    def _correct_outcome(self, error: BankrackError) -> None:
        """Replace the outcome "not run" if an earlier attempt may have run."""
        if self._may_have_run and error.outcome is Outcome.NOT_RUN:
            error.outcome = Outcome.UNKNOWN

    async def _claim_once(self) -> None:
        if self._claim is not None:
            claim, self._claim = self._claim, None
            await claim()

    async def _check_not_leaving(self) -> None:
        """Raise if the upstream is leaving according to a fresh configuration."""
        await self._context.ensure_fresh()
        if self._context.is_leaving(self._upstream()):
            raise UpstreamRefused(
                f"upstream {self._upstream().name} is being removed; try again",
                retry_after=1.0,
            )

    async def _read_first_tokens(self) -> list[Token]:
        upstream = self._upstream()
        generation = f"g-{uuid.uuid4().hex}"
        self.check = StreamCheck(generation)
        self._resumed_offset = -1
        self._count_dispatch()
        job = self._job
        attempt = Attempt(
            job.request_id, generation, job.kind, job.ask.service, job.body, job.key
        )
        logs.event(
            _logger,
            "attempt_sent",
            request=job.request_id,
            workspace=job.ask.workspace,
            upstream=upstream.name,
            generation=generation,
        )
        limits = self._context.limits
        try:
            async with asyncio.timeout(limits.first_token_timeout):
                await self._open(upstream, attempt)
                return await self._read_until_token()
        except TimeoutError as error:
            raise UpstreamFailed(
                f"upstream {upstream.name} sent no token within "
                f"{limits.first_token_timeout:g} s; the request may still run"
            ) from error

    async def _open(self, upstream: Upstream, attempt: Attempt) -> None:
        """Send the request; if the response is lost, resume the generation."""
        try:
            self._response = await self._context.client.open(upstream, attempt)
        except UpstreamFailed as failure:
            await self._resume_or(failure)

    def _count_dispatch(self) -> None:
        if self._uncertain and not self._job.repeatable:
            raise InvariantViolated(
                "a request with an idempotency key would be sent twice"
            )
        self._uncertain = True

    async def _read_until_token(self) -> list[Token]:
        while True:
            try:
                tokens = await self._read()
            except (aiohttp.ClientError, OSError, UpstreamFailed):
                await self._resume_or(_connection_closed_error(self._upstream()))
                continue
            except InvalidUpstreamData as error:
                await self._resume_or(error)
                continue
            if tokens:
                return tokens

    async def _read(self) -> list[Token]:
        assert self._response is not None
        self.check.raise_failure()
        chunk = await self._response.content.readany()
        if not chunk:
            raise _connection_closed_error(self._upstream())
        return self.check.feed(chunk)

    async def _resume_or(self, failure: BankrackError) -> None:
        """Reconnect to the same generation, or raise ``failure``.

        The window is shorter for a repeatable request without a token, because it
        can still be retried on another engine.
        """
        self._drop_response()
        upstream = self._upstream()
        loop = asyncio.get_running_loop()
        window = self._context.limits.resume_window
        if self._job.repeatable and self.check.offset == 0:
            window = min(window, RETRYABLE_RESUME_WINDOW_SECONDS)
        deadline = loop.time() + window
        self._limit_resumes(failure)
        while loop.time() < deadline:
            self.resumes += 1
            self.check.reconnect()
            try:
                async with asyncio.timeout(RESUME_TIMEOUT_SECONDS):
                    self._response = await self._context.client.resume(
                        upstream, self.check.generation, self.check.offset
                    )
            except UpstreamRefused:
                break
            except (BankrackError, TimeoutError):
                await asyncio.sleep(RESUME_INTERVAL_SECONDS)
                continue
            logs.event(
                _logger,
                "generation_resumed",
                request=self._job.request_id,
                upstream=upstream.name,
                generation=self.check.generation,
                offset=self.check.offset,
            )
            return
        raise failure

    def _limit_resumes(self, failure: BankrackError) -> None:
        """Raise ``failure`` after too many consecutive resumes without a token."""
        if self.check.offset != self._resumed_offset:
            self._resumed_offset = self.check.offset
            self._resumes_without_progress = 0
        self._resumes_without_progress += 1
        if self._resumes_without_progress > MAX_RESUMES_WITHOUT_PROGRESS:
            raise failure

    def _may_retry(self, error: BankrackError, tries: int) -> bool:
        certain = error.outcome is Outcome.NOT_RUN
        if not certain and not self._job.repeatable:
            return False
        if tries >= MAX_ATTEMPTS:
            return False
        if not certain:
            self._context.cancel_soon(self._upstream(), self.check.generation)
        return self._context.retries.take()

    def _record_failure(self, error: BankrackError) -> None:
        upstream = self._upstream()
        refused = isinstance(error, UpstreamRefused)
        self._context.health.failed(upstream.name, definite=not refused)
        logs.event(
            _logger,
            "attempt_failed",
            level=logging.WARNING,
            request=self._job.request_id,
            upstream=upstream.name,
            generation=self.check.generation or None,
            error=error.code,
            outcome=error.outcome.value,
        )

    def _close(self) -> None:
        """Release the connection and the slot; cancel an unfinished generation."""
        finished = self.check.state is StreamState.DONE
        self._drop_response(reuse=finished)
        if self.upstream is not None and self.check.generation:
            if finished:
                self._context.health.succeeded(self.upstream.name)
            elif not (self.continuable and self._context.ending):
                self._context.cancel_soon(self.upstream, self.check.generation)
        self._release_placement()

    def _release_placement(self) -> None:
        if self.placement is not None:
            finished = self.check.state is StreamState.DONE
            self._context.admission.release(
                self.placement, produced=self.check.offset, finished=finished
            )
            self.placement = None

    def _drop_response(self, *, reuse: bool = False) -> None:
        if self._response is None:
            return
        if reuse:
            self._response.release()
        else:
            self._response.close()
        self._response = None

    def _upstream(self) -> Upstream:
        assert self.upstream is not None
        return self.upstream

    def _interruption_error(self, reason: str) -> StreamInterrupted:
        return StreamInterrupted(
            f"the generation stopped at token {self.check.offset} ({reason}) and "
            "cannot be resumed; send the request again if it is safe to run twice"
        )


def _connection_closed_error(upstream: Upstream) -> UpstreamFailed:
    return UpstreamFailed(
        f"upstream {upstream.name} closed the connection before a token arrived; "
        "the request may have run, so repeat it only if it is safe to run twice"
    )
