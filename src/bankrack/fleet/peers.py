"""The view of the store, told from node to node.

Plain HTTP on each node's inner address: the same listener carries the state
dump and the metrics, and a question is asked only while the store is out of
reach, so a lasting connection between each two nodes would bring nothing.
"""

import asyncio
import random
import time
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.view import View

PEERS_ASKED = 3
"""Peers asked at once; each answers with its whole view."""
VIEW_PATH = "/peer/view"


class ViewMessage(msgspec.Struct):
    """A view of the store as a peer tells it; ``age`` in seconds."""

    items: list[tuple[str, bytes, int]]
    revision: int
    age: float


def view_response(view: View, age: float) -> web.Response:
    """Answer a peer's question."""
    items = [
        (item.key, item.value, item.revision)
        for item in view.items
        if item.value is not None
    ]
    message = ViewMessage(items, view.revision, age)
    return web.Response(body=msgspec.msgpack.encode(message))


class Peers:
    """Asks peers for their view.

    :param addresses: gives the inner addresses of the other nodes known now.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        addresses: t.Callable[[], list[str]],
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._session = session
        self._addresses = addresses
        self._rng = rng or random.Random()

    async def ask(self, *, timeout: float) -> tuple[Snapshot, float] | None:
        """Ask some peers; returns the freshest view and its age in seconds."""
        addresses = self._addresses()
        chosen = self._rng.sample(addresses, min(PEERS_ASKED, len(addresses)))
        answers = await asyncio.gather(*(self._ask_one(a, timeout) for a in chosen))
        found = [answer for answer in answers if answer is not None]
        return min(found, key=lambda answer: answer[1], default=None)

    async def _ask_one(
        self, address: str, timeout: float
    ) -> tuple[Snapshot, float] | None:
        began = time.monotonic()
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            url = f"http://{address}{VIEW_PATH}"
            async with self._session.get(url, timeout=limit) as response:
                if response.status != 200:
                    return None
                body = await response.read()
            message = msgspec.msgpack.decode(body, type=ViewMessage)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError):
            # A peer that can't tell is one answer less; the caller logs none.
            return None
        items = tuple(Item(key, value, rev) for key, value, rev in message.items)
        age = message.age + time.monotonic() - began
        return Snapshot(items, message.revision), age
