"""Replies with bytes that their callers have not read.

Events for a caller that does not read stay in the write buffer of its connection, so
that its engine is read on meanwhile.  Only replies whose buffer has grown are watched.
"""

import asyncio
import fcntl
import logging
import struct
import termios
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.buffers import choose_cuts
from bankrack.decisions.buffers import Limits
from bankrack.decisions.buffers import may_hold
from bankrack.decisions.buffers import UnreadReply
from bankrack.decisions.buffers import Wait

SLOW_BYTES = 8 * 1024
"""Size of a write buffer from which its reply is watched, far below the size at which
asyncio suspends the writer."""
SWEEP_INTERVAL_SECONDS = 0.25

_logger = logging.getLogger(__name__)


class WatchedReply:
    """The write buffer of one reply's connection.

    :param cut: ends the serving of the request; ``None`` once it has ended.
    :ivar held: bytes in the write buffer.
    :ivar read_at: boot-time seconds when the caller was last seen to read.
    """

    __slots__ = (
        "_unread",
        "_written",
        "cut",
        "held",
        "logged",
        "max_silence",
        "read_at",
        "request",
        "slow_since",
        "transport",
    )

    def __init__(
        self, transport: asyncio.Transport, *, request: str, max_silence: float
    ) -> None:
        self.request = request
        self.max_silence = max_silence
        self.held = 0
        self.read_at = self.slow_since = boottime()
        self.logged = False
        self.cut: t.Callable[[int, str], None] | None = None
        self.transport = transport
        self._written = 0
        self._unread = transport.get_write_buffer_size() + _unacknowledged(transport)

    @property
    def abandoned(self) -> bool:
        """Whether the caller closed its side before its request was served.

        The transport would first send the rest of its buffer, which a caller that has
        left doesn't read, and report the end of the connection only then.
        """
        return self.cut is not None and self.transport.is_closing()

    def measure(self, written: int = 0) -> int:
        """Update ``held`` after ``written`` bytes; returns by how much it changed."""
        before = self.held
        self.held = self.transport.get_write_buffer_size()
        self._written += written
        return self.held - before

    def note_progress(self, now: float) -> None:
        """Update ``read_at``.

        The kernel takes bytes from the write buffer in large pieces, so progress shows
        earlier in what the caller's host has acknowledged.
        """
        unread = self.held + _unacknowledged(self.transport)
        if unread < self._unread + self._written:
            self.read_at = now
        self._unread = unread
        self._written = 0

    def set_buffer_limit(
        self, high: float | None = None, *, low: int | None = None
    ) -> None:
        """Set the buffer size from which writers wait until it is ``low`` again.

        :param high: ``None`` for asyncio's own limits.
        """
        self.transport.set_write_buffer_limits(None if high is None else int(high), low)

    def abort(self) -> None:
        """Drop the unread bytes and the connection."""
        self.transport.abort()


class UnreadReplies:
    """Accounts for the unread replies of a node and cuts those it can't hold.

    :ivar held: unread bytes of all watched replies.
    :ivar cuts: number of replies that were cut.
    """

    def __init__(
        self,
        limits: Limits,
        *,
        note_cut: t.Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.limits = limits
        self.held = 0
        self._note_cut = note_cut
        self._by_transport: dict[asyncio.Transport, WatchedReply] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def enabled(self) -> bool:
        """Whether replies are watched; without a limit callers are waited for."""
        return self.limits.bounded

    def __len__(self) -> int:
        return len(self._by_transport)

    def watch(self, reply: WatchedReply) -> None:
        """Watch a reply from now on until its buffer is empty again.

        It takes the place of the connection's last reply, which has ended.
        """
        reply.set_buffer_limit(self.limits.reply)
        last = self._by_transport.get(reply.transport)
        self.held += reply.measure() - (last.held if last is not None else 0)
        self._by_transport[reply.transport] = reply
        if self._timer is None:
            self._schedule()

    def must_wait(self, reply: WatchedReply, written: int) -> bool:
        """Account for written bytes; returns whether to wait until some were read."""
        if reply.cut is None:
            # It was cut, or has ended, and is no longer accounted for.
            return False
        self.held += reply.measure(written)
        return isinstance(may_hold(reply.held, self.held, self.limits), Wait)

    def describe(self) -> list[dict[str, t.Any]]:
        """Return the watched replies for the state dump."""
        now = boottime()
        return [
            {
                "request": reply.request,
                "held": reply.held,
                "stalled": round(now - reply.read_at, 3),
            }
            for reply in self._by_transport.values()
        ]

    def sweep(self, now: float) -> None:
        """Update all replies, forget those that were read and cut what is too much."""
        for transport, reply in list(self._by_transport.items()):
            if reply.abandoned:
                reply.abort()
            self.held += reply.measure()
            reply.note_progress(now)
            if not reply.held and reply.cut is None:
                del self._by_transport[transport]
            elif not reply.held:
                reply.read_at = reply.slow_since = now
            elif not reply.logged and now - reply.slow_since >= reply.max_silence / 4:
                reply.logged = True
                self._log_slow(reply, now)
        replies = list(self._by_transport.values())
        unread = [
            UnreadReply(number, reply.held, now - reply.read_at, reply.max_silence)
            for number, reply in enumerate(replies)
            if reply.held
        ]
        for cut in choose_cuts(unread, self.limits):
            reply = replies[cut.number]
            del self._by_transport[reply.transport]
            self._cut(reply, cut.reason)

    def _log_slow(self, reply: WatchedReply, now: float) -> None:
        logs.event(
            _logger,
            "caller_slow",
            request=reply.request,
            held=reply.held,
            behind_for=now - reply.slow_since,
        )

    def _cut(self, reply: WatchedReply, reason: str) -> None:
        logs.event(
            _logger,
            "caller_cut",
            request=reply.request,
            held=reply.held,
            total=self.held,
            reason=reason,
        )
        self._note_cut(reason)
        self.held -= reply.held
        cut, reply.cut = reply.cut, None
        if cut is not None:
            cut(reply.held, reason)
        else:
            reply.abort()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.sweep(boottime())
        if self._by_transport:
            self._schedule()


def _unacknowledged(transport: asyncio.Transport) -> int:
    """Bytes in the kernel that the caller's host has not acknowledged; 0 if unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])
