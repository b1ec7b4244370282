"""Notification of leaving upstreams while the store accepts no writes.

An upstream reports in its responses that it is leaving, to the nodes that it serves.
Without the store the other nodes would only learn of it from requests of their own.
"""

import asyncio
import logging

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.messages import decode_message
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.registry import Upstreams

LEAVING_PATH = "/peer/leaving"
STORE_DELAY_SECONDS = 0.05
"""Time for the store to deliver the change first; if it does, no node is notified."""

_logger = logging.getLogger(__name__)


class LeavingUpdates:
    """Sends notices of leaving upstreams and applies those of other nodes."""

    def __init__(
        self, broadcast: Broadcast, notices: NoticeHandler, upstreams: Upstreams
    ) -> None:
        self._broadcast = broadcast
        self._notices = notices
        self._upstreams = upstreams

    async def handle(self, request: web.Request) -> web.Response:
        """Apply the ids of leaving upstreams; unknown ones are ignored."""
        source = request.query.get("from", "")
        for upstream_id in decode_message(await request.read(), list[str]):
            if self._upstreams.note_leaving(upstream_id):
                logs.event(
                    _logger, "upstream_leaving", upstream=upstream_id, source=source
                )
        return web.Response()

    async def run(self) -> None:
        """Notify all members until cancelled."""
        while True:
            await self._notices.leaving_updates.wait()
            await asyncio.sleep(STORE_DELAY_SECONDS)
            leaving_updates = await self._notices.leaving_updates.take()
            ids = [i for i in leaving_updates if not self._known_from_store(i)]
            if ids:
                await self._notify(ids)

    def _known_from_store(self, upstream_id: str) -> bool:
        upstream = self._upstreams.by_id.get(upstream_id)
        return upstream is not None and upstream.record.leaving

    async def _notify(self, ids: list[str]) -> None:
        body = msgspec.msgpack.encode(ids)
        missing = await self._broadcast.notify(LEAVING_PATH, body)
        logs.event(
            _logger,
            "leaving_told",
            upstreams=",".join(ids),
            untold=",".join(member.name for member in missing) or None,
        )
