"""Lending of retries between the nodes' shares of the retry budget.

If an engine crashes, one node may lose more streams than its share of the budget lets
it retry, while the shares of other nodes are unused. The lender charges its own share
before it responds, so a lost response can only reduce the total.
"""

import asyncio
import logging
import random
import typing as t

import aiohttp
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.fleet.documents import Member
from bankrack.serving.budget import ROUNDING
from bankrack.serving.budget import SharedRetryBudget

LEND_PATH = "/peer/repeat"
ASK_TIMEOUT_SECONDS = 0.05
"""Longest wait for one member's response; the caller's stream is stalled meanwhile."""
MAX_LENDERS = 8
"""Members asked for one retry. Several may be needed, as some lend only a fraction or
do not respond."""
BORROW_TIMEOUT_SECONDS = 0.2
"""Time after which no further member is asked."""

_logger = logging.getLogger(__name__)


class Lender:
    """Borrows retries from other members and lends them retries.

    :param members: returns the live members, with or without this node.
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

    async def borrow(self, service: str, amount: float = 1.0) -> bool:
        """Borrow a retry, or a fraction of one; returns whether all of it was lent.

        Fractions that were lent are lost if the rest is not, which errs on the safe
        side.

        :param amount: retries to borrow, at most 1.
        """
        others = [m for m in self._members() if m.name != self._own.name]
        lenders = random.sample(others, min(MAX_LENDERS, len(others)))
        missing, outcomes = amount, []
        deadline = boottime() + BORROW_TIMEOUT_SECONDS
        for member in lenders:
            if missing <= ROUNDING or boottime() > deadline:
                break
            lent, reason = await self._ask(member, service, missing)
            missing -= lent
            outcomes.append(f"{member.name}:{reason}")
        logs.event(
            _logger,
            "repeat_borrowed",
            service=service,
            amount=amount,
            missing=max(0.0, missing),
            members=",".join(outcomes) or "none",
        )
        return missing <= ROUNDING

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a member that asks for a retry or a fraction of one."""
        service = request.query.get("service", "")
        lent = self._budget.lend(service, _parse_amount(request.query))
        return web.Response(status=200 if lent else 409, text=repr(lent))

    async def _ask(
        self, member: Member, service: str, amount: float
    ) -> tuple[float, str]:
        """Ask one member; returns the amount lent and the outcome for the log."""
        url = f"http://{member.address}{LEND_PATH}"
        query = {"service": service, "amount": repr(amount)}
        try:
            async with (
                asyncio.timeout(ASK_TIMEOUT_SECONDS),
                self._session.post(url, params=query) as response,
            ):
                if response.status != 200:
                    return 0.0, "none to lend"
                lent = float(await response.text())
                if not 0.0 <= lent <= amount:
                    return 0.0, f"lent {lent:.2f} of {amount:.2f}, which is ignored"
                return lent, f"lent {lent:.2f}"
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return 0.0, repr(error)


def _parse_amount(query: t.Mapping[str, str]) -> float:
    """Decode the requested amount; rejects and logs a malformed one."""
    text = query.get("amount", "1")
    try:
        amount = float(text)
    except ValueError:
        amount = 0.0
    if not 0.0 < amount <= 1.0:
        reason = f"amount must be a number above 0 and at most 1, got {text[:20]!r}"
        logs.event(_logger, "peer_message_invalid", reason=reason)
        raise web.HTTPBadRequest(text=reason)
    return amount
