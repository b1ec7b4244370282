"""HTTP client that sends jobs to upstreams and reads their responses.

Every request uses a new connection.  The upstream may have dropped a reused connection,
or bytes of an earlier response may remain on it, whereas a failure to open a new one
proves that nothing was sent.
"""

import dataclasses
import typing as t

import aiohttp
import yarl

from bankrack.clock import boottime
from bankrack.decisions.responseends import NoRecourse
from bankrack.decisions.responseends import Recourse
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import Outcome
from bankrack.exceptions import UpstreamClosed
from bankrack.exceptions import UpstreamDisconnected
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.bufferedresponses import BufferedResponses
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.framing import Framing
from bankrack.serving.framing import framing_of
from bankrack.serving.job import Answer
from bankrack.serving.job import Header
from bankrack.serving.job import Job
from bankrack.serving.notices import Notice
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.paths import CONNECT_TIMEOUT_SECONDS
from bankrack.serving.paths import TunnelNode
from bankrack.serving.permits import Permits
from bankrack.serving.responseends import EndedResponse
from bankrack.serving.responseends import ResponseEnds
from bankrack.serving.sending import BodiesInFlight
from bankrack.serving.sessions import ResetAwareHandler
from bankrack.serving.upstreams import Upstream

RESUMED_RUN_RANK = -1
"""Rank of a resumed run, which precedes all new runs: its caller already has the
beginning, which would be lost."""


@dataclasses.dataclass(slots=True, frozen=True)
class Resume:
    """Copy from which an interrupted run is resumed.

    :param source: address of the engine under which the copy is registered.
    :param handle: identifier of the copy for that address.
    """

    source: str
    handle: str


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """One attempt to send a job to an upstream.

    :param time_left: seconds until the caller's deadline.
    :param backup: address of the upstream that keeps a backup of the run.
    :param reservation: identifier of the run's reservation on the upstream.
    :param last_event: id of the last event that the caller received, if any.
    :param health_path: health path of the upstream's service, empty if unknown.
    """

    job: Job
    upstream: Upstream
    workspace: str | None
    priority: int
    time_left: float
    backup: str | None = None
    reservation: str | None = None
    resume: Resume | None = None
    last_event: int | None = None
    health_path: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """Status and headers of a response.

    :param headers: end-to-end headers to forward.
    :param not_run: the upstream states that it did not run the job.
    :param run_id: id of the job that the response belongs to, if stated.
    :param sealed: the response carries the upstream's proof of origin.
    :param notice: the upstream's status.
    :param invites: callers take the status for an assurance that the job was not run,
        and send it again.
    """

    status: int
    headers: list[Header]
    not_run: bool
    run_id: str | None
    sealed: bool
    notice: Notice = dataclasses.field(default_factory=Notice)
    invites: bool = False


class UpstreamDialect(t.Protocol):
    """Translation between jobs and the HTTP headers of a platform's upstreams."""

    def request_headers(self, send: Send) -> list[Header]:
        """Return the request headers of a send, without those of the connection."""
        ...

    def read_head(self, status: int, headers: t.Sequence[Header]) -> Head:
        """Decode the status and headers of a response."""
        ...


class Exchange:
    """A response being read; ``close`` aborts the request immediately.

    :param ends: confirms the end if only the end of the connection ends the body.
    :param buffered: accounts for the body while it is read whole.
    :param sent_at: boot-time seconds when the job was sent.
    """

    __slots__ = (
        "_buffered",
        "_ends",
        "_protocol",
        "_response",
        "_send",
        "head",
        "sent_at",
    )

    def __init__(
        self,
        send: Send,
        response: aiohttp.ClientResponse,
        head: Head,
        ends: ResponseEnds,
        buffered: BufferedResponses,
        *,
        sent_at: float,
    ) -> None:
        self._send = send
        self.sent_at = sent_at
        self._response = response
        self._ends = ends
        self._buffered = buffered
        # A response that has ended already has no connection any more.
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self.head = head

    @property
    def framing(self) -> Framing:
        """How the end of the body shows."""
        response = self._response
        return framing_of(response.method, response.status, response.headers)

    @property
    def tunnel(self) -> TunnelNode | None:
        """Node through which the response comes; ``None`` if it comes directly."""
        handler = t.cast(ResetAwareHandler | None, self._protocol)
        return None if handler is None else handler.tunnel

    async def read(self, recourse: t.Callable[[], Recourse] = NoRecourse) -> bytes:
        """Read the complete body.

        :param recourse: called at the end, see :meth:`confirm_end`.

        Raises :exc:`UpstreamFailed` if it is truncated or too large.
        """
        chunks = []
        with self._buffered.reading() as size:
            while chunk := await self.read_available():
                self._buffered.add(size, len(chunk))
                chunks.append(chunk)
            await self.confirm_end(recourse)
        return b"".join(chunks)

    async def read_available(self) -> bytes:
        """Read the available bytes, at least one; empty at the end of the body.

        The body is complete only if :meth:`confirm_end` agrees.
        """
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            message = f"the upstream's response was truncated ({error!r})"
            raise UpstreamDisconnected(message) from error

    async def confirm_end(
        self, recourse: t.Callable[[], Recourse] = NoRecourse
    ) -> None:
        """Raise :exc:`ResponseDoubted` unless the body that ended is complete.

        :param recourse: returns what else can serve the request; called if the end is
            in doubt.
        """
        self._note_answer()
        if self.framing is not Framing.CONNECTION:
            return
        handler = t.cast(ResetAwareHandler | None, self._protocol)
        ended = EndedResponse(
            self._send.job.id,
            self._send.health_path,
            self.sent_at,
            unread=0.0 if handler is None else handler.unread_seconds,
            time_left=self.sent_at + self._send.time_left - boottime(),
            recourse=recourse(),
        )
        await self._ends.confirm(self._send.upstream, ended)

    def _note_answer(self) -> None:
        """Take the answer as a proof that its upstream lived behind earlier ends."""
        head = self.head
        if head.sealed and not head.not_run:
            healthy = head.status < 500 and not head.notice.leaving
            self._ends.note_answer(
                self._send.upstream, sent_at=self.sent_at, healthy=healthy
            )

    def close(self) -> None:
        """Drop the connection; the upstream stops working on the job."""
        self._response.close()


def whole_answer(head: Head, body: bytes, *, repeatable: bool) -> Answer:
    """Join an answer that was read whole; raises :exc:`UpstreamFailed`.

    :param repeatable: the job may run more than once.
    """
    if head.status < 300 and not head.sealed:
        raise UpstreamFailed("the upstream's answer carries no proof of origin")
    if head.invites and not (head.not_run or repeatable):
        raise UpstreamFailed(
            f"the upstream answered {head.status} but does not state that it did not "
            "run the request"
        )
    return Answer(head.status, head.headers, body)


class UpstreamClient:
    """Client that sends every job over a connection of its own.

    :param ends: confirms the ends of responses that only their connections end.
    :param buffered: accounts for the responses that are read; there is no bound for all
        together by default.
    :ivar in_flight: accounts for the bodies that are sent.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        dialect: UpstreamDialect,
        notices: NoticeHandler,
        permits: Permits,
        in_flight: BodiesInFlight,
        ends: ResponseEnds,
        buffered: BufferedResponses | None = None,
    ) -> None:
        self.in_flight = in_flight
        self._buffered = buffered or BufferedResponses()
        self._ends = ends
        self._permits = permits
        self._session = session
        self._dialect = dialect
        self._notices = notices
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )

    async def open(self, send: Send, progress: CallProgress | None = None) -> Exchange:
        """Send a job and wait for the head of its response.

        :param progress: updated as the job is sent.

        Raises :exc:`UpstreamUnreachable` if nothing was sent, and
        :exc:`UpstreamFailed` if the job may have run.
        """
        _refuse_if_closed(send, boottime())
        if send.upstream.limit.bounded:
            await self._acquire_permit(send)
        sent_at = boottime()
        job = send.job
        url = _url(send.upstream.address, job.target)
        size = len(job.body)
        if not self.in_flight.fits(send.upstream.id, size):
            raise UpstreamClosed(
                f"as many bytes as upstream {send.upstream.id} must take are in flight "
                "to it; nothing was sent, use another upstream"
            )
        try:
            with self.in_flight.sending(send.upstream.id, size):
                response = await self._session.request(
                    job.method,
                    url,
                    headers=self._dialect.request_headers(send),
                    data=job.body or None,
                    allow_redirects=False,
                    timeout=self._timeout,
                    trace_request_ctx=progress,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamUnreachable(
                f"can't connect to {send.upstream.address} ({error!r}); use another "
                "upstream"
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamDisconnected(
                f"no response from {send.upstream.address} ({error!r}); the request "
                "may have run"
            ) from error
        head = self._dialect.read_head(response.status, _header_pairs(response))
        self._notices.take(
            send.upstream,
            head.notice,
            status=head.status,
            sent_at=sent_at,
            request=job.id,
        )
        if head.run_id is not None and head.run_id != job.id:
            response.close()
            raise UpstreamFailed(
                f"{send.upstream.address} sent the response to another request; this "
                "one may have run",
                outcome=Outcome.UNKNOWN,
            )
        return Exchange(
            send, response, head, self._ends, self._buffered, sent_at=sent_at
        )

    async def _acquire_permit(self, send: Send) -> None:
        """Take a permit of the upstream's rate limit, which all nodes share.

        Raises :exc:`UpstreamClosed` if no permit is available.
        """
        upstream = send.upstream
        rank = RESUMED_RUN_RANK if send.resume is not None else send.priority
        wait = await self._permits.take(upstream, rank=rank)
        if wait:
            upstream.note_no_permit(boottime() + wait)
            raise UpstreamClosed(
                f"upstream {upstream.id} accepts {upstream.limit.rate:g} requests a "
                f"second and has no permit for {wait:.2f} s; nothing was sent, use "
                "another upstream"
            )
        _refuse_if_closed(send, boottime())


def _refuse_if_closed(send: Send, now: float) -> None:
    """Raise :exc:`UpstreamClosed` if the upstream does not accept a request.

    This is the last check before a request is sent, as the upstream may have started
    to shut down, or its hall may have been evacuated, since it was selected.  An
    upstream that is shutting down still accepts resumed runs that arrived before it
    announced the shutdown.  One that is evacuated or backing off accepts nothing.
    """
    upstream = send.upstream
    if upstream.backing_off(now):
        raise UpstreamClosed(
            f"upstream {upstream.id} asked this node to back off for another "
            f"{upstream.backoff_until - now:.2f} s; nothing was sent, use another "
            "upstream"
        )
    if upstream.evacuated:
        raise UpstreamClosed(
            f"hall {upstream.record.hall} of upstream {upstream.id} is evacuated; "
            "nothing was sent, use another upstream"
        )
    may_resume = send.resume is not None and send.job.arrived <= upstream.leaving_since
    if upstream.leaving and not may_resume:
        raise UpstreamClosed(
            f"upstream {upstream.id} is shutting down; nothing was sent, use another "
            "upstream"
        )


def _header_pairs(response: aiohttp.ClientResponse) -> list[Header]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.raw_headers
    ]


def _url(address: str, target: str) -> yarl.URL:
    """Build the URL of a job; raises if the target would be changed by encoding."""
    url = yarl.URL(f"http://{address}{target}", encoded=True)
    if url.raw_path_qs != target:
        raise InvalidRequest(f"the target {target[:80]!r} can't be forwarded unchanged")
    return url
