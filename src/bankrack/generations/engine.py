"""HTTP client of the model engines.

Errors state whether the request ran: the outcome ``not_run`` is used only if
nothing was sent or if the engine itself reported it.
"""

import typing as t

import aiohttp
import msgspec

from bankrack.control.intent import Service
from bankrack.control.intent import Upstream
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamRefused
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.framing import Framing
from bankrack.serving.framing import framing_of
from bankrack.wire import completions
from bankrack.wire.reports import LoadReport
from bankrack.wire.reports import parse_report

NOT_RUN_CODE = "not_run"
CANCEL_TIMEOUT_SECONDS = 2.0
REPORT_TIMEOUT_SECONDS = 1.0
REFUSED_RETRY_AFTER_SECONDS = 1.0
_PATHS = {completions.CHAT: "/v1/chat/completions", completions.TEXT: "/v1/completions"}


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run a request on one engine.

    :param generation: id under which the engine runs the generation.
    :param body: request body in the engine's format.
    :param key: idempotency key of the caller; empty if the request is repeatable.
    """

    request_id: str
    generation: str
    kind: str
    service: Service
    body: bytes
    key: str = ""


class EngineClient:
    """Starts, resumes and cancels generations, and reads load reports.

    :param connect_timeout: longest time to connect to an engine, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, *, connect_timeout: float
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(
            total=None, connect=connect_timeout, sock_connect=connect_timeout
        )

    async def open(
        self, upstream: Upstream, attempt: Attempt
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its headers have arrived.

        :raises UpstreamUnreachable: if no connection was made; nothing was sent.
        :raises UpstreamRefused: if the engine reports that it did not run the
            request.
        :raises UpstreamFailed: if it is unknown whether the request runs.
        :raises InvalidRequest: if the engine rejects the request as invalid.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": attempt.generation,
            "X-Trace-Id": attempt.request_id,
            "X-Priority": str(attempt.service.priority),
        }
        if attempt.key:
            headers["Idempotency-Key"] = attempt.key
            # The engine may close an idle keep-alive connection while the request
            # is being sent, which leaves unknown whether the request ran.
            headers["Connection"] = "close"
        url = f"http://{upstream.address}{_PATHS[attempt.kind]}"
        return await self._request(
            "POST", url, upstream=upstream, headers=headers, data=attempt.body
        )

    async def resume(
        self, upstream: Upstream, generation: str, offset: int
    ) -> aiohttp.ClientResponse:
        """Continue reading a running generation from the event at ``offset``."""
        headers = {"Last-Event-ID": f"{generation}:{offset - 1}"} if offset else {}
        url = f"http://{upstream.address}/v1/generations/{generation}"
        return await self._request("GET", url, upstream=upstream, headers=headers)

    async def cancel(self, upstream: Upstream, generation: str) -> bool:
        """Cancel a generation; return whether the engine confirmed it."""
        url = f"http://{upstream.address}/v1/generations/{generation}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(url, timeout=timeout) as response:
                return response.status < 300
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def report(self, upstream: Upstream) -> LoadReport | None:
        """Read an engine's load report; return ``None`` if it is unavailable."""
        url = f"http://{upstream.address}/metrics"
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                text = await response.text()
                framing = framing_of("GET", response.status, response.headers)
                if response.status != 200 or framing is Framing.CONNECTION:
                    # An error, or a report that was cut off, shows too little load.
                    return None
                return parse_report(text)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def _request(
        self, method: str, url: str, *, upstream: Upstream, **options: t.Any
    ) -> aiohttp.ClientResponse:
        try:
            response = await self._session.request(
                method, url, timeout=self._timeout, **options
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise unreachable_error(upstream) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise failed_error(upstream, type(error).__name__) from error
        if response.status == 200:
            return response
        raise await _error_from_response(upstream, response)


async def _error_from_response(
    upstream: Upstream, response: aiohttp.ClientResponse
) -> UpstreamRefused | UpstreamFailed | InvalidRequest:
    status = response.status
    try:
        data = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        data = b""
    response.release()
    if status == 400:
        return InvalidRequest(
            f"upstream {upstream.name} rejected the request as invalid; correct it"
        )
    if _has_not_run_code(data):
        return UpstreamRefused(
            f"upstream {upstream.name} refused the request with status {status}; "
            "try again",
            retry_after=REFUSED_RETRY_AFTER_SECONDS,
        )
    return failed_error(upstream, f"status {status}")


def _has_not_run_code(data: bytes) -> bool:
    try:
        error_body = msgspec.json.decode(data)
        return bool(error_body["error"]["code"] == NOT_RUN_CODE)
    except (msgspec.DecodeError, KeyError, TypeError):
        return False


def unreachable_error(upstream: Upstream) -> UpstreamUnreachable:
    """Return the error for an upstream to which no connection could be made."""
    return UpstreamUnreachable(
        f"upstream {upstream.name} cannot be reached; try again", retry_after=1.0
    )


def failed_error(upstream: Upstream, reason: str) -> UpstreamFailed:
    """Return the error for an upstream that failed after the request was sent."""
    return UpstreamFailed(
        f"upstream {upstream.name} failed ({reason}) after the request was sent; "
        "the request may have run, so repeat it only if it is safe to run twice"
    )
