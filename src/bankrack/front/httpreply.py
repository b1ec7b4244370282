"""Writes the response to one request of a caller, who may read it slowly."""

import asyncio
import typing as t

import aiohttp
from aiohttp import web

from bankrack.exceptions import CallerDisconnected
from bankrack.exceptions import CallerTooSlow
from bankrack.front.unreadreplies import SLOW_BYTES
from bankrack.front.unreadreplies import UnreadReplies
from bankrack.front.unreadreplies import WatchedReply
from bankrack.serving.assignment import MIN_SILENCE_SECONDS
from bankrack.serving.giveup import RESET_ON_CLOSE
from bankrack.serving.giveup import SEND_ON_CLOSE
from bankrack.serving.giveup import set_linger
from bankrack.serving.job import Answer
from bankrack.serving.job import Header

LARGE_ANSWER_BYTES = 64 * 1024
"""Size of an answer that waits for its caller, as asyncio buffers no more."""


class HttpReply:
    """Writes the response to one request.

    :param is_closing: returns whether to close the connection after the response.
    :param unread: accounts for the bytes that callers have not read.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        is_closing: t.Callable[[], bool],
        unread: UnreadReplies,
    ) -> None:
        self._request = request
        self._is_closing = is_closing
        self._closes = False
        self._response: web.StreamResponse | None = None
        self._unread = unread
        self._watched: WatchedReply | None = None
        self._limit: asyncio.Timeout | None = None
        self._max_silence = MIN_SILENCE_SECONDS
        self.cut: CallerTooSlow | None = None
        self.request_id = ""
        self.was_aborted = False
        self._ended = False

    @property
    def unended(self) -> bool:
        """Whether the response was started, and neither ended nor aborted."""
        return self.started and not self._ended and not self.was_aborted

    @property
    def started(self) -> bool:
        """Whether the response was started."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """The response to return to the HTTP server."""
        assert self._response is not None
        return self._response

    @property
    def behind(self) -> bool:
        """Whether the caller has not read all that was written."""
        return self._watched is not None and self._watched.held > 0

    def set_limit(self, limit: asyncio.Timeout, *, max_silence: float) -> None:
        """Set the timeout that ends the serving of the request.

        :param max_silence: seconds without an event after which the caller gives up.
        """
        self._limit = limit
        self._max_silence = max_silence

    def close_connection(self) -> None:
        """Close the connection after the response."""
        self._closes = True

    async def answer(self, answer: Answer) -> None:
        """Write a complete response."""
        response = web.StreamResponse(status=answer.status)
        response.headers.extend(answer.headers)
        response.content_length = len(answer.body)
        await self._prepare(response)
        if len(answer.body) > LARGE_ANSWER_BYTES:
            self._watch()
        try:
            if answer.body and self._request.method != "HEAD":
                await response.write(answer.body)
            await self._write_end()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error

    async def begin(self, status: int, headers: t.Sequence[Header]) -> None:
        """Start a streamed response."""
        response = web.StreamResponse(status=status)
        response.headers.extend(headers)
        if self._request.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            # Only the end of the connection ends this response.
            response.force_close()
            # Only a reset tells this caller that the response is incomplete, also if
            # this process ends.
            set_linger(self._request.transport, RESET_ON_CLOSE)
        await self._prepare(response)

    async def write(self, data: bytes) -> bool:
        """Write a chunk of a streamed response.

        Waits for a caller that does not read only if no more may be held for it;
        returns whether it did.
        """
        if len(data) > SLOW_BYTES:
            self._watch()
        try:
            await self.response.write(data)
            if self._watched is not None:
                if self._unread.must_wait(self._watched, len(data)):
                    return await self._wait_until_read(SLOW_BYTES)
            elif self._buffered > SLOW_BYTES:
                self._watch()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error
        return False

    async def end(self) -> None:
        """End a streamed response as complete."""
        try:
            if not self.response.chunked:
                # From now on the end of the connection tells that it is complete.
                await self._hand_over()
                set_linger(self._request.transport, SEND_ON_CLOSE)
            await self._write_end()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        self.was_aborted = True
        transport = self._request.transport
        if transport is None:
            return
        if self.cut is not None:
            transport.abort()
        else:
            transport.close()

    def close(self) -> None:
        """End the serving; bytes that the caller has not read yet are still sent."""
        if self._watched is not None:
            self._watched.cut = None

    async def _write_end(self) -> None:
        await self.response.write_eof()
        self._ended = True
        if self._watched is not None:
            await self._wait_until_read(0)
            self._watched.set_buffer_limit()
            self.close()
        elif self._buffered:
            # The request ends here, but what its caller has not read is still held.
            self._watch()
            self.close()

    async def _hand_over(self) -> None:
        """Wait until the system has all that was written, and sends it in any case."""
        self._watch()
        transport = self._request.transport
        if self._watched is not None:
            await self._wait_until_read(0)
        elif transport is not None:
            transport.set_write_buffer_limits(0)
            await self._request.writer.drain()

    async def _wait_until_read(self, size: int) -> bool:
        """Wait until the caller has read all but ``size`` bytes, if it has not yet."""
        assert self._watched is not None
        waits = self._buffered > size
        self._watched.set_buffer_limit(size, low=size)
        await self._request.writer.drain()
        self._watched.set_buffer_limit(self._unread.limits.reply)
        return waits

    @property
    def _buffered(self) -> int:
        transport = self._request.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def _watch(self) -> None:
        """Let the connection hold what its caller has not read."""
        transport = self._request.transport
        if self._watched is None and transport is not None and self._unread.enabled:
            self._watched = WatchedReply(
                transport, request=self.request_id, max_silence=self._max_silence
            )
            self._watched.cut = self._cut
            self._unread.watch(self._watched)

    def _cut(self, held: int, reason: str) -> None:
        """End the serving of the request, whose caller is cut off."""
        self.cut = CallerTooSlow(
            f"the caller left {held} bytes unread ({reason}); read the response as it "
            "arrives, and send a new request"
        )
        assert self._limit is not None
        if not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._closes or self._is_closing():
            response.force_close()
        self._response = response
        try:
            await response.prepare(self._request)
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error
