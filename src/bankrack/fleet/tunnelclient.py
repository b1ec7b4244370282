"""Connections to upstreams through nodes that reach them."""

import asyncio
import contextlib
import dataclasses
import functools
import math
import random
import socket
import typing as t
from asyncio import staggered

from bankrack.clock import boottime
from bankrack.fleet.documents import Member
from bankrack.serving.paths import connect_directly
from bankrack.serving.paths import NoPeers
from bankrack.serving.paths import NoTunnel
from bankrack.serving.paths import TunnelNode
from bankrack.wire.tunnels import decode_response
from bankrack.wire.tunnels import encode_request
from bankrack.wire.tunnels import END_OF_HEAD
from bankrack.wire.tunnels import MAX_HEAD_BYTES
from bankrack.wire.tunnels import TunnelStatus

MAX_TRYING_NODES = 4
"""Nodes that try to reach an upstream for one connection; those that refuse at once, as
they know that they don't reach it or have no room, do not count."""
MAX_ASKED_NODES = 32
STAGGER_SECONDS = 0.05
"""Time after which the next node is asked as well."""
TUNNEL_TIMEOUT_SECONDS = 0.3
SEARCH_TIMEOUT_SECONDS = 0.45
"""Time in which one of the nodes must have opened a tunnel."""
MEMORY_SECONDS = 2.0
"""Time for which nodes that opened a tunnel are asked before all others, and nodes that
opened none after them."""


class NoTunnelHere(NoTunnel):
    """One node opened no tunnel; others may.

    :param at_once: it refused without trying, as it knows that it can't.
    """

    def __init__(self, message: str, *, at_once: bool) -> None:
        super().__init__(message)
        self.at_once = at_once


@dataclasses.dataclass(slots=True)
class _Search:
    """Nodes that were asked for one connection, and those that count as trying.

    :ivar address: of the upstream.
    :ivar single_use: the connection is closed behind its first exchange.
    :ivar opened: a node has opened the tunnel.
    """

    address: str
    single_use: bool
    asked: int = 0
    trying: int = 0
    opened: bool = False


class TunnelClient:
    """Connects to upstreams through other members.

    :param members: returns the live members, with or without this node.
    """

    def __init__(
        self,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        *,
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._clock = clock
        self._rng = rng or random.Random()
        self._failed_at_by_name: dict[str, float] = {}
        self._opened_at_by_name: dict[str, float] = {}
        self._node_by_name: dict[str, TunnelNode] = {}

    async def connect(self, address: str, *, single_use: bool = False) -> socket.socket:
        """Return a socket that another node has connected to ``ip:port``.

        :param single_use: it is closed behind its first exchange.

        Raises :exc:`NoTunnel` if no node opened a tunnel, and
        :exc:`ConnectionRefusedError` if the upstream refused the connection there.
        """
        nodes = self._ordered_nodes()[:MAX_ASKED_NODES]
        if not nodes:
            raise NoPeers("no other node is known that opens tunnels")
        search = _Search(address, single_use)
        attempts = [functools.partial(self._try, node, search) for node in nodes]
        sock = None
        errors: t.Sequence[BaseException | None] = ()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEARCH_TIMEOUT_SECONDS):
                sock, _, errors = await staggered.staggered_race(
                    attempts, STAGGER_SECONDS
                )
        if sock is not None:
            return t.cast(socket.socket, sock)
        for error in errors:
            if isinstance(error, ConnectionRefusedError):
                raise error
        raise NoTunnel(f"none of {search.asked} nodes opened a tunnel to {address}")

    def node_at(self, address: str) -> TunnelNode | None:
        """Return the node that opens tunnels at ``ip:port``."""
        for member in self._members():
            if member.tunnel == address:
                new = TunnelNode(member.name)
                return self._node_by_name.setdefault(member.name, new)
        return None

    def note_stopping(self, name: str) -> None:
        """Record that a node has announced its stop.

        Its next process, which has the same name, is another node to its tunnels.
        """
        if (node := self._node_by_name.pop(name, None)) is not None:
            node.is_ending = True

    async def _try(self, node: Member, search: _Search) -> socket.socket:
        """Ask one node, unless a tunnel is open or enough others are trying already.

        The race starts another attempt although one has won if a third one fails in
        the same turn of the event loop, and crashes if two win.
        """
        if search.opened or search.trying >= MAX_TRYING_NODES:
            raise NoTunnel(f"{node.name} was not asked")
        search.asked += 1
        search.trying += 1
        try:
            sock = await self._connect(node, search)
        except NoTunnelHere as error:
            if error.at_once:
                search.trying -= 1
            raise
        search.opened = True
        return sock

    def _ordered_nodes(self) -> list[Member]:
        """Order the other members by what became of their latest tunnel.

        Among equals near ones come first.
        """
        keyed = []
        for member in self._members():
            if member.name == self._own.name or not member.tunnel:
                continue
            is_far = member.hall != self._own.hall
            rank = self._rank(member.name)
            keyed.append((rank, is_far, self._rng.random(), member))
        keyed.sort(key=lambda entry: entry[:3])
        return [member for *_, member in keyed]

    def _rank(self, name: str) -> int:
        """Return 0 for a node that opened a tunnel lately, 2 for one that did not."""
        since = self._clock() - MEMORY_SECONDS
        if self._failed_at_by_name.get(name, -math.inf) > since:
            return 2
        return 0 if self._opened_at_by_name.get(name, -math.inf) > since else 1

    async def _connect(self, node: Member, search: _Search) -> socket.socket:
        began = self._clock()
        try:
            async with asyncio.timeout(TUNNEL_TIMEOUT_SECONDS):
                sock = await connect_directly(node.tunnel)
                try:
                    status = await _request_tunnel(sock, search)
                except BaseException:
                    sock.close()
                    raise
        except (OSError, ValueError):
            self._note_failed(node)
            raise
        except asyncio.CancelledError:
            # Another node was quicker.
            if self._clock() >= began + STAGGER_SECONDS:
                self._note_failed(node)
            raise
        if status is TunnelStatus.OPEN:
            self._failed_at_by_name.pop(node.name, None)
            self._opened_at_by_name[node.name] = self._clock()
            return sock
        sock.close()
        if status is TunnelStatus.REFUSED:
            raise ConnectionRefusedError(
                f"{search.address} refuses {node.name} as well"
            )
        self._note_failed(node)
        raise NoTunnelHere(
            f"{node.name} opens no tunnel to {search.address} ({status.name})",
            at_once=self._clock() < began + STAGGER_SECONDS,
        )

    def _note_failed(self, node: Member) -> None:
        names = {member.name for member in self._members()}
        known = (self._failed_at_by_name, self._opened_at_by_name, self._node_by_name)
        for by_name in known:
            for name in by_name.keys() - names:
                del by_name[name]
        self._failed_at_by_name[node.name] = self._clock()


async def _request_tunnel(sock: socket.socket, search: _Search) -> TunnelStatus:
    """Request a tunnel; raises :exc:`OSError` or :exc:`ValueError`."""
    loop = asyncio.get_running_loop()
    request = encode_request(search.address, single_use=search.single_use)
    await loop.sock_sendall(sock, request)
    head = b""
    # The upstream sends nothing before its request, so no byte of it is read here.
    while END_OF_HEAD not in head:
        data = await loop.sock_recv(sock, MAX_HEAD_BYTES - len(head))
        if not data:
            raise ConnectionResetError("the node closed before it answered")
        head += data
    return decode_response(head)
