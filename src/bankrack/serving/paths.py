"""Connections to upstreams, and what they tell of this node's path to each."""

import asyncio
import collections
import contextlib
import enum
import functools
import logging
import socket
import typing as t
from asyncio import staggered

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.paths import first_kind
from bankrack.decisions.paths import Path
from bankrack.decisions.paths import PathKind
from bankrack.decisions.paths import retest_due
from bankrack.decisions.paths import worked_recently
from bankrack.metrics import GatewayMetrics

CONNECT_TIMEOUT_SECONDS = 0.3
"""Timeout of a connection attempt, shorter than the 1 s until a lost SYN is resent."""
UNACKNOWLEDGED_TIMEOUT_SECONDS = 3.0
"""Time without an acknowledgement after which the kernel closes a connection."""
TUNNEL_DELAY_SECONDS = 0.05
"""Time after which the other path is tried as well; within a region connections are
established in a few milliseconds."""
MAX_ADDRESSES = 10_000
"""Bounds the addresses whose path is remembered."""

_logger = logging.getLogger(__name__)


def create_socket(family: int = socket.AF_INET) -> socket.socket:
    """Create a non-blocking socket that fails if its peer stops acknowledging data."""
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    milliseconds = int(UNACKNOWLEDGED_TIMEOUT_SECONDS * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    return sock


async def connect_directly(address: str) -> socket.socket:
    """Connect to ``ip:port``; raises :exc:`OSError`, also after the timeout.

    A busy event loop may learn of an established connection only after the timeout, so
    the kernel is asked before the attempt counts as failed.
    """
    host, _, port = address.rpartition(":")
    sock = create_socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS) as limit:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except BaseException as error:
        timed_out = isinstance(error, TimeoutError) and limit.expired()
        if not timed_out or not _is_connected(sock):
            sock.close()
            raise
    return sock


def _is_connected(sock: socket.socket) -> bool:
    """Whether the kernel has established the connection."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Listener(enum.Enum):
    """State of an upstream's listening socket, determined by connection attempts.

    The port of a process that ended refuses connections, also those of other nodes.  A
    process that only reset a connection or sent a corrupt response still listens.
    """

    REFUSES = "refuses"
    LISTENS = "listens"
    SILENT = "silent"
    CUT_OFF = "cut_off"  # Another node reaches it, this one does not.


class NoTunnel(OSError):
    """No other node opened a tunnel; check which nodes reach the upstream."""


class NoPeers(NoTunnel):
    """There is no other node that could open a tunnel."""


class TunnelNode:
    """A node through which connections lead.

    :ivar is_ending: it has announced that it stops.
    """

    __slots__ = ("is_ending", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_ending = False


class Tunnels(t.Protocol):
    """Connections through other nodes."""

    async def connect(self, address: str, *, single_use: bool = False) -> socket.socket:
        """Return a socket that another node has connected to ``ip:port``.

        :param single_use: it is closed behind its first exchange.

        Raises :exc:`NoTunnel` if no node opened a tunnel, and
        :exc:`ConnectionRefusedError` if the upstream refused the connection there.
        """
        ...

    def node_at(self, address: str) -> TunnelNode | None:
        """Return the node that opens tunnels at ``ip:port``."""
        ...


class NoTunnels:
    """Stands for the tunnels of a node without peers."""

    async def connect(self, address: str, *, single_use: bool = False) -> socket.socket:
        """Raise :exc:`NoPeers`."""
        raise NoPeers("this node has no peers")

    def node_at(self, address: str) -> TunnelNode | None:
        """Return ``None``."""
        return None


class UpstreamPaths:
    """Connects to upstreams: directly, or through a node that reaches them."""

    def __init__(
        self,
        metrics: GatewayMetrics,
        tunnels: Tunnels | None = None,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._metrics = metrics
        self._tunnels = tunnels or NoTunnels()
        self._clock = clock
        self._path_by_address: collections.OrderedDict[str, Path] = (
            collections.OrderedDict()
        )
        self._searches: set[asyncio.Task[socket.socket]] = set()
        self._left_by_address: dict[str, asyncio.Task[socket.socket]] = {}
        self._retest_by_address: dict[str, asyncio.Task[None]] = {}
        self._check_by_address: dict[str, asyncio.Task[Listener]] = {}

    async def connect(self, address: str, *, single_use: bool = False) -> socket.socket:
        """Connect to the upstream at ``ip:port``; raises :exc:`OSError`.

        :param single_use: the connection is closed behind its first exchange.

        Callers may wait for less time than it takes to find a path, so a search that is
        not waited for any more goes on, for the next caller.
        """
        path = self._path(address)
        if worked_recently(path, self._clock()):
            with contextlib.suppress(OSError):
                return await self._connect_directly(address, path)
        search = asyncio.create_task(self._search(address, path, single_use))
        self._searches.add(search)
        search.add_done_callback(self._searches.discard)
        try:
            return await asyncio.shield(search)
        except asyncio.CancelledError:
            self._leave(address, search)
            raise

    def _leave(self, address: str, search: "asyncio.Task[socket.socket]") -> None:
        """Let one search for a path go on without its caller."""
        if address in self._left_by_address:
            _discard(search)
            return
        self._left_by_address[address] = search
        search.add_done_callback(lambda _: self._left_by_address.pop(address))
        search.add_done_callback(_close_connection)

    async def _search(
        self, address: str, path: Path, single_use: bool
    ) -> socket.socket:
        """Connect on whichever path works first."""
        now = self._clock()
        attempt_by_kind = {
            PathKind.DIRECT: functools.partial(self._connect_directly, address, path),
            PathKind.TUNNEL: functools.partial(
                self._connect_by_tunnel, address, path, single_use=single_use
            ),
        }
        first = first_kind(path, now)
        if first is PathKind.TUNNEL and retest_due(path, now):
            self._start_retest(address, path)
        attempts = sorted(attempt_by_kind.items(), key=lambda pair: pair[0] != first)
        sock, index, errors = await staggered.staggered_race(
            [attempt for _, attempt in attempts], TUNNEL_DELAY_SECONDS
        )
        if sock is None:
            raise _joint_error(
                {kind: error for (kind, _), error in zip(attempts, errors, strict=True)}
            )
        is_tunnel = attempts[t.cast(int, index)][0] is PathKind.TUNNEL
        if is_tunnel and not path.error:
            # The direct attempt was only slower; find out if it succeeds.
            self._start_retest(address, path)
        return t.cast(socket.socket, sock)

    def node_between(self, peer: str, address: str) -> TunnelNode | None:
        """Return the node at ``peer`` if a connection to ``address`` leads through it.

        :param peer: ``ip:port`` to which the connection was opened.
        """
        return None if peer == address else self._tunnels.node_at(peer)

    def is_cut_off(self, address: str) -> bool:
        """Whether other nodes reach an address that this one does not."""
        path = self._path_by_address.get(address)
        if path is None:
            return False
        return first_kind(path, self._clock()) is PathKind.TUNNEL

    async def check(self, address: str) -> Listener:
        """Check the listening socket at an address; concurrent calls share a check."""
        check = self._check_by_address.get(address)
        if check is None:
            check = asyncio.create_task(self._check(address))
            self._check_by_address[address] = check
            check.add_done_callback(lambda _: self._check_by_address.pop(address))
        return await asyncio.shield(check)

    async def _check(self, address: str) -> Listener:
        """Try both paths at once, as callers of a crashing request come back soon."""
        path = self._path(address)
        tunnel = asyncio.create_task(self._connect_by_tunnel(address, path))
        try:
            sock = await self._connect_directly(address, path)
        except OSError as error:
            results = await asyncio.gather(tunnel, return_exceptions=True)
            return _listener(error, results[0])
        _discard(tunnel)
        sock.close()
        return Listener.LISTENS

    async def close(self) -> None:
        """Stop the tests of paths."""
        tests = [
            *self._searches,
            *self._retest_by_address.values(),
            *self._check_by_address.values(),
        ]
        for test in tests:
            test.cancel()
        await asyncio.gather(*tests, return_exceptions=True)

    def describe(self) -> dict[str, dict[str, t.Any]]:
        """Return the paths whose newest attempt failed, for the state dump."""
        now = self._clock()
        return {
            address: {
                "error": path.error,
                "failed_ago": now - path.failed_at,
                "connected_ago": now - path.connected_at if path.connected_at else None,
                "tunnelled_ago": now - path.tunnelled_at if path.tunnelled_at else None,
            }
            for address, path in self._path_by_address.items()
            if path.error
        }

    def _path(self, address: str) -> Path:
        path = self._path_by_address.setdefault(address, Path())
        if len(self._path_by_address) > MAX_ADDRESSES:
            self._path_by_address.popitem(last=False)
        return path

    async def _connect_directly(self, address: str, path: Path) -> socket.socket:
        try:
            sock = await connect_directly(address)
        except OSError as error:
            self._note_failed(address, path, error)
            raise
        self._note_connected(address, path)
        return sock

    async def _connect_by_tunnel(
        self, address: str, path: Path, *, single_use: bool = False
    ) -> socket.socket:
        try:
            sock = await self._tunnels.connect(address, single_use=single_use)
        except OSError:
            path.tunnelled_at = 0.0
            self._count(PathKind.TUNNEL, "failed")
            raise
        if not path.tunnelled_at:
            logs.event(
                _logger, "path_tunnelled", address=address, reason=path.error or "slow"
            )
        path.tunnelled_at = self._clock()
        self._count(PathKind.TUNNEL, "connected")
        return sock

    def _start_retest(self, address: str, path: Path) -> None:
        """Find out in the background whether the direct path works."""
        if address in self._retest_by_address:
            return
        retest = asyncio.create_task(self._retest(address, path))
        self._retest_by_address[address] = retest
        retest.add_done_callback(lambda _: self._retest_by_address.pop(address, None))

    async def _retest(self, address: str, path: Path) -> None:
        # The failure is recorded and logged with the path.
        with contextlib.suppress(OSError):
            sock = await self._connect_directly(address, path)
            sock.close()

    def _note_connected(self, address: str, path: Path) -> None:
        if path.error:
            logs.event(
                _logger,
                "path_restored",
                address=address,
                failed_ago=self._clock() - path.failed_at,
            )
        path.error = ""
        path.connected_at = self._clock()
        self._count(PathKind.DIRECT, "connected")

    def _note_failed(self, address: str, path: Path, error: OSError) -> None:
        if not path.error:
            logs.event(
                _logger,
                "path_failed",
                address=address,
                reason=repr(error),
                failing=1 + len(self.describe()),
                known=len(self._path_by_address),
            )
        path.error = repr(error)
        path.failed_at = self._clock()
        outcome = "refused" if isinstance(error, ConnectionRefusedError) else "failed"
        self._count(PathKind.DIRECT, outcome)

    def _count(self, kind: PathKind, outcome: str) -> None:
        self._metrics.connections.inc({"path": kind.value, "outcome": outcome})


def _discard(attempt: "asyncio.Task[socket.socket]") -> None:
    """Cancel an attempt, and close its connection if it succeeds nevertheless."""
    attempt.cancel()
    attempt.add_done_callback(_close_connection)


def _close_connection(ended: "asyncio.Task[socket.socket]") -> None:
    """Close the connection of an attempt that nobody waits for."""
    if not ended.cancelled() and ended.exception() is None:
        ended.result().close()


def _listener(direct: OSError, tunnel: socket.socket | BaseException) -> Listener:
    """Return what a failed direct attempt and one by tunnel tell of a listener."""
    if isinstance(tunnel, socket.socket):
        tunnel.close()
        return Listener.CUT_OFF
    if isinstance(direct, ConnectionRefusedError) and _agrees(tunnel):
        return Listener.REFUSES
    return Listener.SILENT


def _agrees(tunnel: BaseException) -> bool:
    """Whether no other node contradicts a refusal that this node met."""
    return isinstance(tunnel, (ConnectionRefusedError, NoPeers))


def _joint_error(
    error_by_kind: t.Mapping[PathKind, BaseException | None],
) -> BaseException:
    """Return the error of a connection that failed on both paths."""
    direct = error_by_kind[PathKind.DIRECT]
    tunnel = error_by_kind[PathKind.TUNNEL]
    if direct is None or tunnel is None:
        return TimeoutError("no path was established in time")
    if isinstance(direct, ConnectionRefusedError) and not _agrees(tunnel):
        # The refusal may be this node's alone.
        return tunnel
    return direct


class UpstreamHandler(ResponseHandler):
    """One connection to an upstream.

    :ivar address: ``ip:port`` of the upstream.
    :ivar tunnel: node through which it leads; ``None`` if it is direct.
    """

    address = ""
    tunnel: TunnelNode | None = None


class UpstreamConnector(aiohttp.TCPConnector):
    """Connector whose connections are opened by :class:`UpstreamPaths`."""

    def __init__(self, paths: UpstreamPaths, *, reuse: bool) -> None:
        super().__init__(limit=0, force_close=not reuse)
        self._paths = paths
        self._reuse = reuse

    async def _wrap_create_connection(
        self,
        *args: t.Any,
        addr_infos: list[t.Any],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: t.Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        host, port = addr_infos[0][4][:2]
        address = f"{host}:{port}"
        try:
            # The attempts of all paths have timeouts of their own.
            sock = await self._paths.connect(address, single_use=not self._reuse)
            peer_host, peer_port = sock.getpeername()[:2]
            transport, protocol = await self._loop.create_connection(
                *args, **kwargs, sock=sock
            )
        except TimeoutError:
            # aiohttp converts it; it is an OSError as well.
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error
        peer = f"{peer_host}:{peer_port}"
        handler = t.cast(UpstreamHandler, protocol)
        handler.address = address
        handler.tunnel = self._paths.node_between(peer, address)
        return transport, protocol
