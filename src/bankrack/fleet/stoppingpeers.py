"""Notification of a node's stop, for nodes whose streams lead through its tunnels."""

import logging

from aiohttp import web

from bankrack import logs
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.tunnelclient import TunnelClient
from bankrack.fleet.tunnelserver import TunnelServer

STOPPING_PATH = "/peer/stopping"

_logger = logging.getLogger(__name__)


class StoppingPeers:
    """Announces this node's stop and notes those of other nodes."""

    def __init__(
        self, broadcast: Broadcast, client: TunnelClient, server: TunnelServer
    ) -> None:
        self._broadcast = broadcast
        self._client = client
        self._server = server

    async def handle(self, request: web.Request) -> web.Response:
        """Note that the node that sent the request stops."""
        self._client.note_stopping(request.query.get("from", ""))
        return web.Response()

    async def announce(self) -> None:
        """Tell all members that this node stops, if answers lead through it."""
        if not (tunnels := self._server.active):
            return
        missing = await self._broadcast.notify(STOPPING_PATH, b"")
        logs.event(
            _logger,
            "stop_told",
            tunnels=tunnels,
            untold=",".join(member.name for member in missing) or None,
        )
