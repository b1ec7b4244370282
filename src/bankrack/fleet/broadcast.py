"""Telling something to all members at once, past the store."""

import asyncio
import typing as t

import aiohttp

from bankrack.fleet.documents import Member

TELL_SECONDS = 0.3
"""Longest wait for one member; halls are some ms apart."""
TELL_TRIES = 3
TELL_REST_SECONDS = 0.2
MOST_TOLD_AT_ONCE = 32


class Broadcast:
    """Posts to the inner addresses of the members that live.

    :param members: gives them, this node among them or not.
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

    async def tell(
        self,
        path: str,
        body: bytes,
        *,
        asked_once: t.Callable[[], None] = lambda: None,
    ) -> list[Member]:
        """Tell all other members; those who don't answer are asked again.

        :param asked_once: called once each was asked for the first time.
        :return: who did not take it in all tries.
        """
        missing = [m for m in self._members() if m.name != self._own.name]
        slots = asyncio.Semaphore(MOST_TOLD_AT_ONCE)
        for attempt in range(TELL_TRIES):
            if attempt:
                await asyncio.sleep(TELL_REST_SECONDS)
            telling = (self._tell(member, path, body, slots) for member in missing)
            took = await asyncio.gather(*telling)
            missing = [m for m, done in zip(missing, took, strict=True) if not done]
            asked_once()
            if not missing:
                break
        return missing

    async def _tell(
        self, member: Member, path: str, body: bytes, slots: asyncio.Semaphore
    ) -> bool:
        async with slots:
            return await self.tell_one(member, path, body)

    async def tell_one(self, member: Member, path: str, body: bytes) -> bool:
        """Tell one member, once; tells whether it took it in."""
        url = f"http://{member.address}{path}"
        query = {"from": self._own.name}
        try:
            async with (
                asyncio.timeout(TELL_SECONDS),
                self._session.post(url, params=query, data=body) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Who stays silent is told to the one who asks, who logs it.
            return False
