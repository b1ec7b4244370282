"""Notification of all members at once, without the store."""

import asyncio
import typing as t

import aiohttp

from bankrack.fleet.documents import Member

NOTIFY_TIMEOUT_SECONDS = 0.3
"""Longest wait for one member's response."""
MAX_NOTIFY_ATTEMPTS = 3
NOTIFY_RETRY_SECONDS = 0.2
MAX_CONCURRENT_NOTIFICATIONS = 32


OnResponse = t.Callable[[Member, bytes], None]


class Broadcast:
    """Posts messages to the internal addresses of the live members.

    :param members: returns the live members, with or without this node.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
    ) -> None:
        self._session = session
        self._own = own
        self._members = members

    async def notify(
        self,
        path: str,
        body: bytes,
        *,
        on_first_round: t.Callable[[], None] = lambda: None,
        on_response: OnResponse | None = None,
    ) -> list[Member]:
        """Notify all other members, with retries for those that do not respond.

        :param on_first_round: called once every member was tried once.
        :param on_response: called with the body of each member's response.
        :return: the members that were not reached.
        """
        missing = [m for m in self._members() if m.name != self._own.name]
        slots = asyncio.Semaphore(MAX_CONCURRENT_NOTIFICATIONS)
        for round_number in range(MAX_NOTIFY_ATTEMPTS):
            if round_number:
                await asyncio.sleep(NOTIFY_RETRY_SECONDS)
            attempts = (
                self._notify_with_slot(member, path, body, slots, on_response)
                for member in missing
            )
            results = await asyncio.gather(*attempts)
            missing = [m for m, done in zip(missing, results, strict=True) if not done]
            on_first_round()
            if not missing:
                break
        return missing

    async def _notify_with_slot(
        self,
        member: Member,
        path: str,
        body: bytes,
        slots: asyncio.Semaphore,
        on_response: OnResponse | None,
    ) -> bool:
        async with slots:
            return await self.notify_one(member, path, body, on_response)

    async def notify_one(
        self,
        member: Member,
        path: str,
        body: bytes,
        on_response: OnResponse | None = None,
    ) -> bool:
        """Notify one member once; returns whether it accepted the message."""
        url = f"http://{member.address}{path}"
        query = {"from": self._own.name}
        try:
            async with (
                asyncio.timeout(NOTIFY_TIMEOUT_SECONDS),
                self._session.post(url, params=query, data=body) as response,
            ):
                if response.status != 200:
                    return False
                if on_response is not None:
                    on_response(member, await response.read())
                return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The caller logs the members that were not reached.
            return False
