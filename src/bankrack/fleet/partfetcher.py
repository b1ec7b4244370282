"""Collects the parts of large values that were announced, from any node that has them.

One request is under way at a time. What arrived is kept, whatever becomes of the node
that sent it, and parts that a newer value shares are not requested again.
"""

import asyncio
import dataclasses
import logging
import random
import typing as t

import aiohttp
import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.exceptions import PeerDataInvalid
from bankrack.exceptions import PeerNotReady
from bankrack.exceptions import PeerUnavailable
from bankrack.fleet.documents import Member
from bankrack.fleet.partserver import MAX_REQUESTED
from bankrack.fleet.partserver import PARTS_PATH
from bankrack.fleet.partserver import PartsQuery
from bankrack.fleet.partserver import PartsResponse
from bankrack.fleet.pendingvalues import PendingValue
from bankrack.fleet.store import Item
from bankrack.fleet.store import number_of
from bankrack.fleet.store import Snapshot
from bankrack.fleet.suspects import SuspectList
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View

SILENCE_TIMEOUT_SECONDS = 0.5
"""Longest time without a byte of a response."""
TRANSFER_TIMEOUT_SECONDS = 2.0
SUSPICION_SECONDS = 1.0
"""Time for which a node that did not answer is not asked for parts."""
MIN_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 0.16
"""Pauses after requests in a row that brought nothing; each is varied by half."""
STANDBY_STALL_SECONDS = 1.0
"""Time without a new part after which a node that stands by for the readers reads the
store; the others then get the parts from it."""
STALL_SECONDS = 4.0
"""The same for other nodes. The whole state takes their links several times as long as
the parts."""
WIDE_SEARCH_SECONDS = 0.4
"""Time without a new part after which nodes of other halls are asked, too."""
SOURCE = "parts"
"""Source of received values in the logs."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Progress:
    """How the collection of one value goes.

    :ivar part_at: time when the latest part arrived, or the value was announced.
    :ivar idle_requests: requests in a row that brought nothing.
    :ivar source_names: nodes that sent parts.
    """

    revision: int
    part_at: float
    idle_requests: int = 0
    received_bytes: int = 0
    source_names: set[str] = dataclasses.field(default_factory=set)


class PartFetcher:
    """Requests the missing parts of pending values and puts the values in force.

    :param members: returns the live members, with or without this node.
    :param read_store: reads the store; returns whether it succeeded.
    :param is_standby: whether this node is among the first to read the store.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        view: View,
        parts: ValueParts,
        transfers: TransferLog,
        *,
        read_store: t.Callable[[], t.Awaitable[bool]],
        is_standby: t.Callable[[], bool],
    ) -> None:
        self._session = session
        self._own = own
        self._members = members
        self._view = view
        self._parts = parts
        self._transfers = transfers
        self._read_store = read_store
        self._is_standby = is_standby
        self._suspects = SuspectList()
        self._progress_by_key: dict[str, _Progress] = {}

    async def run(self) -> None:
        """Collect pending values until cancelled."""
        while True:
            pending = next(iter(self._view.pending.by_key.values()), None)
            if pending is None:
                self._progress_by_key.clear()
                await self._view.updated.wait()
                continue
            await self._advance(pending)

    async def _advance(self, pending: PendingValue) -> None:
        """Request some parts of a value, or put it in force if none is missing."""
        outline = pending.outline
        progress = self._progress_of(pending)
        missing = self._parts.missing(outline)
        if not missing:
            self._adopt(pending, progress)
            return
        source = self._choose_source(pending, progress)
        found = source is not None and await self._request(source, missing, progress)
        if found:
            progress.part_at = boottime()
            progress.idle_requests = 0
            return
        progress.idle_requests += 1
        if boottime() > progress.part_at + self._stall_seconds():
            await self._fall_back_on_store(progress)
        await asyncio.sleep(_pause_seconds(progress.idle_requests))

    def _progress_of(self, pending: PendingValue) -> _Progress:
        """Return the progress of a value, started anew for each revision."""
        outline = pending.outline
        progress = self._progress_by_key.get(outline.key)
        if progress is None or progress.revision != outline.revision:
            progress = _Progress(outline.revision, pending.announced_at)
            self._progress_by_key[outline.key] = progress
            held = self._view.item(outline.key)
            if held is not None and held.value is not None:
                # The value in force has most parts of its successor.
                self._parts.outline_of(held)
            self._parts.keep(outline)
        return progress

    def _adopt(self, pending: PendingValue, progress: _Progress) -> None:
        outline = pending.outline
        logs.event(
            _logger,
            "value_received",
            key=outline.key,
            revision=number_of(outline.revision),
            elapsed=boottime() - pending.announced_at,
            bytes=progress.received_bytes,
            sources=",".join(sorted(progress.source_names)) or None,
        )
        item = Item(outline.key, self._parts.join(outline), outline.revision)
        self._view.apply_changes(Snapshot((item,), item.revision), source=SOURCE)
        # An item that is passed over, as it was removed meanwhile, is not awaited.
        self._view.pending.settle(outline.key, outline.revision)

    def _choose_source(
        self, pending: PendingValue, progress: _Progress
    ) -> Member | None:
        """Return the node to ask next, if there is one.

        The announcers are asked first. While they are busy, other nodes of the hall may
        have parts already, which they pass on.
        """
        announcers = [m for m in pending.announcers if self._is_usable(m)]
        if announcers and progress.idle_requests % 2 == 0:
            return random.choice(announcers)
        is_stalled = boottime() > progress.part_at + WIDE_SEARCH_SECONDS
        others = [
            member
            for member in self._members()
            if self._is_usable(member) and (is_stalled or member.hall == self._own.hall)
        ]
        return random.choice(others or announcers or [None])

    def _is_usable(self, member: Member) -> bool:
        return member.address != self._own.address and self._suspects.is_trusted(member)

    async def _request(
        self, source: Member, missing: list[bytes], progress: _Progress
    ) -> bool:
        """Request missing parts from a node; returns whether any arrived."""
        # Nodes that collect the same value get different parts first.
        random.shuffle(missing)
        try:
            encoded = await self._ask(source, PartsQuery(missing[:MAX_REQUESTED]))
            wanted = set(missing)
            for part in encoded:
                self._parts.add(part, wanted)
        except PeerNotReady:
            return False
        except (PeerUnavailable, PeerDataInvalid) as error:
            self._suspects.suspect(source, seconds=SUSPICION_SECONDS)
            logs.event(
                _logger, "parts_failed", source=source.name, reason=error.message
            )
            return False
        progress.received_bytes += sum(map(len, encoded))
        if encoded:
            progress.source_names.add(source.name)
        return bool(encoded)

    async def _ask(self, source: Member, query: PartsQuery) -> list[bytes]:
        """Send a query; raises :exc:`PeerUnavailable`."""
        sent_at = boottime()
        body = bytearray()
        error = ""
        limit = aiohttp.ClientTimeout(
            total=TRANSFER_TIMEOUT_SECONDS,
            sock_connect=SILENCE_TIMEOUT_SECONDS,
            sock_read=SILENCE_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.post(
                f"http://{source.address}{PARTS_PATH}",
                params={"from": self._own.name},
                data=msgspec.msgpack.encode(query),
                timeout=limit,
            ) as response:
                if response.status != 200:
                    raise PeerNotReady(f"{source.name}: status {response.status}")
                async for chunk in response.content.iter_any():
                    body += chunk
            return msgspec.msgpack.decode(body, type=PartsResponse).parts
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as e:
            error = repr(e)
            raise PeerUnavailable(f"{source.name}: {e!r}") from e
        finally:
            self._transfers.note_received(
                "parts",
                len(body),
                source=source.name,
                seconds=boottime() - sent_at,
                error=error,
            )

    async def _fall_back_on_store(self, progress: _Progress) -> None:
        """Read the store, as no node that can be reached sends parts."""
        logs.event(
            _logger,
            "parts_stalled",
            revision=number_of(progress.revision),
            seconds=boottime() - progress.part_at,
        )
        await self._read_store()
        # The store is read again only after another such time, spread over the nodes.
        progress.part_at = boottime() + self._stall_seconds() * random.random()

    def _stall_seconds(self) -> float:
        return STANDBY_STALL_SECONDS if self._is_standby() else STALL_SECONDS


def _pause_seconds(idle_requests: int) -> float:
    pause = min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * 2 ** min(idle_requests, 8))
    return pause * (0.5 + random.random())
