"""Repeats that nodes lend each other from their shares of the retry budget.

An engine that ends takes several streams of one node with it, more than that node's
share in a large fleet, while the shares of most others lie unused.  Who lends counts
the repeat as its own before it answers, so the sum never grows, whatever is lost on
the way.
"""

import asyncio
import logging
import random
import typing as t

import aiohttp
from aiohttp import web

from bankrack import logs
from bankrack.fleet.documents import Member
from bankrack.serving.budget import SharedRetryBudget

LEND_PATH = "/peer/repeat"
ASK_SECONDS = 0.05
"""Longest wait for one member's answer; halls are some ms apart, and a stream that is
to go on stands still meanwhile."""
MOST_ASKED = 3
"""Members asked for one repeat before it is given up."""

_logger = logging.getLogger(__name__)


class Lender:
    """Borrows repeats from other members, and lends them own ones.

    :param members: gives the members that live, this node among them or not.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        budget: SharedRetryBudget,
    ) -> None:
        self._session = session
        self._own = own
        self._members = members
        self._budget = budget

    async def borrow(self, service: str) -> bool:
        """Get one repeat from any member; tells whether one lent it."""
        others = [m for m in self._members() if m.name != self._own.name]
        for member in random.sample(others, min(MOST_ASKED, len(others))):
            outcome = await self._ask(member, service)
            logs.event(
                _logger,
                "repeat_borrowed",
                service=service,
                member=member.name,
                outcome=outcome,
            )
            if outcome == "lent":
                return True
        return False

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a member that asks for a repeat."""
        service = request.query.get("service", "")
        lent = self._budget.lend(service)
        return web.Response(status=200 if lent else 409)

    async def _ask(self, member: Member, service: str) -> str:
        """Ask one member; returns the outcome for the log."""
        url = f"http://{member.address}{LEND_PATH}"
        try:
            async with (
                asyncio.timeout(ASK_SECONDS),
                self._session.post(url, params={"service": service}) as response,
            ):
                return "lent" if response.status == 200 else "none to lend"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return repr(error)
