"""Tunnels through this node, for nodes that don't reach an upstream themselves."""

import asyncio
import logging
import socket
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.descriptors import leaves_room
from bankrack.decisions.descriptors import Use
from bankrack.fleet.gonepeers import until_gone
from bankrack.fleet.hangups import HangupWatch
from bankrack.metrics import GatewayMetrics
from bankrack.serving.giveup import give_up
from bankrack.serving.giveup import RESET_ON_CLOSE
from bankrack.serving.giveup import SEND_ON_CLOSE
from bankrack.serving.paths import connect_directly
from bankrack.utils import max_open_files
from bankrack.wire.tunnels import decode_request
from bankrack.wire.tunnels import encode_response
from bankrack.wire.tunnels import END_OF_HEAD
from bankrack.wire.tunnels import is_single_use
from bankrack.wire.tunnels import MAX_HEAD_BYTES
from bankrack.wire.tunnels import TunnelStatus

MAX_TUNNELS = 256
"""Bounds the tunnels through this node, each of which buffers up to 256 KiB."""
CHUNK_BYTES = 64 * 1024
HEAD_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 30.0
"""Time that the other node has to read the rest once the upstream closed."""
ACTIVE_SECONDS = 1.0
"""Time without bytes after which an answered tunnel counts as idle if it is kept."""

_logger = logging.getLogger(__name__)


class _Tunnel:
    """One tunnel; copies bytes in both directions.

    :param single_use: it is closed behind its first exchange, so its answer is under
        way until then, however long the upstream is silent.
    :ivar answered: the newest bytes came from the upstream.
    """

    __slots__ = ("answered", "last_at", "node", "single_use", "upstream")

    def __init__(
        self, node: "_Stream", upstream: "_Stream", *, single_use: bool
    ) -> None:
        self.single_use = single_use
        self.node = node
        self.upstream = upstream
        self.answered = False
        self.last_at = boottime()

    @property
    def active(self) -> bool:
        """Whether an answer is due or under way."""
        if self.single_use or not self.answered:
            return True
        return boottime() - self.last_at < ACTIVE_SECONDS

    async def run(self, hangup: "asyncio.Future[None]") -> None:
        """Copy until either end closes; the upstream's end is passed on as it was.

        :param hangup: done once the node closed; what it sent before is then dropped.
        """
        request = asyncio.create_task(self._copy(self.node, self.upstream))
        answer = asyncio.create_task(self._copy(self.upstream, self.node))
        gone = asyncio.create_task(
            until_gone(self.node.writer.get_extra_info("socket"))
        )
        try:
            await _first_of(request, answer, hangup, gone)
            if answer.done() and answer.exception() is None:
                self.node.writer.write_eof()
                await _first_of(request, hangup, gone, timeout=READ_TIMEOUT_SECONDS)
        finally:
            tasks = (request, answer, gone)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _copy(self, source: "_Stream", target: "_Stream") -> None:
        while data := await source.reader.read(CHUNK_BYTES):
            self.answered = source is self.upstream
            self.last_at = boottime()
            target.writer.write(data)
            await target.writer.drain()


async def _first_of(
    *futures: "asyncio.Future[None]", timeout: float | None = None
) -> None:
    """Wait until one of some futures is done, whatever its result."""
    await asyncio.wait(futures, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)


class _Stream(t.NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class TunnelServer:
    """Opens tunnels to upstreams for other nodes; never through a third node.

    :param is_upstream: whether an address is that of a known upstream.
    :param is_cut_off: whether this node itself reaches an address by tunnel only.
    :ivar stopping: no more tunnels are opened.
    """

    def __init__(
        self,
        is_upstream: t.Callable[[str], bool],
        is_cut_off: t.Callable[[str], bool],
        metrics: GatewayMetrics,
    ) -> None:
        self._is_upstream = is_upstream
        self._is_cut_off = is_cut_off
        self._metrics = metrics
        self._max_descriptors = max_open_files()
        self._tunnels: set[_Tunnel] = set()
        self._hangups = HangupWatch()
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()
        self.stopping = False

    @property
    def active(self) -> int:
        """Number of tunnels in which an answer is due or under way."""
        return sum(tunnel.active for tunnel in self._tunnels)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        self._hangups.start()
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle, host, int(port), limit=CHUNK_BYTES
        )

    async def stop(self) -> None:
        """Stop listening and reset all tunnels."""
        if self._server is not None:
            self._server.close()
        for handler in self._handlers:
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)
        self._hangups.stop()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = t.cast("asyncio.Task[None]", asyncio.current_task())
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)
        accepted: socket.socket = writer.get_extra_info("socket")
        # The end of a connection may be the end of an answer, so the other node must
        # see a reset unless the upstream itself ended the answer, even if this process
        # is killed.
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        try:
            await self._serve(_Stream(reader, writer), accepted.fileno())
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            logs.event(_logger, "tunnel_failed", reason=repr(error))
        except asyncio.LimitOverrunError:
            logs.event(_logger, "tunnel_failed", reason="the head is too long")
        except asyncio.CancelledError:
            # Only ``stop`` cancels a handler; it has nothing more to do.
            return
        finally:
            writer.transport.abort()

    async def _serve(self, node: _Stream, descriptor: int) -> None:
        async with asyncio.timeout(HEAD_TIMEOUT_SECONDS):
            head = await node.reader.readuntil(END_OF_HEAD)
        address = decode_request(head[:MAX_HEAD_BYTES]) or ""
        status, sock = await self._connect(address, descriptor)
        self._metrics.tunnels.inc({"outcome": status.name.lower()})
        if sock is None:
            logs.event(
                _logger, "tunnel_refused", address=address, reason=status.name.lower()
            )
            await self._refuse(node, status)
            return
        upstream = _Stream(*await asyncio.open_connection(sock=sock, limit=CHUNK_BYTES))
        tunnel = _Tunnel(node, upstream, single_use=is_single_use(head))
        self._tunnels.add(tunnel)
        try:
            node.writer.write(encode_response(status))
            with self._hangups.watching(descriptor) as hangup:
                await tunnel.run(hangup)
        finally:
            self._tunnels.discard(tunnel)
            give_up(upstream.writer.transport)

    async def _connect(
        self, address: str, descriptor: int
    ) -> tuple[TunnelStatus, socket.socket | None]:
        """Connect to an upstream; returns no socket unless the tunnel is open.

        :param descriptor: of the other node's connection.
        """
        if not self._is_upstream(address):
            return TunnelStatus.UNKNOWN_UPSTREAM, None
        if self._is_full(descriptor):
            return TunnelStatus.FULL, None
        if self._is_cut_off(address):
            return TunnelStatus.UNREACHED, None
        try:
            return TunnelStatus.OPEN, await connect_directly(address)
        except ConnectionRefusedError:
            return TunnelStatus.REFUSED, None
        except OSError:
            return TunnelStatus.UNREACHED, None

    def _is_full(self, descriptor: int) -> bool:
        if self.stopping or len(self._tunnels) >= MAX_TUNNELS:
            return True
        return not leaves_room(descriptor, self._max_descriptors, Use.TUNNEL)

    async def _refuse(self, node: _Stream, status: TunnelStatus) -> None:
        """Answer, and close in a way that leaves the answer to the other node."""
        accepted: socket.socket = node.writer.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, SEND_ON_CLOSE)
        node.writer.write(encode_response(status))
        async with asyncio.timeout(HEAD_TIMEOUT_SECONDS):
            node.writer.close()
            await node.writer.wait_closed()
