"""Follows a leader: requests updates of its view and applies them to this node's."""

import logging
import typing as t

import aiohttp
import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.exceptions import PeerDataInvalid
from bankrack.exceptions import PeerNotReady
from bankrack.exceptions import PeerUnavailable
from bankrack.fleet.documents import Member
from bankrack.fleet.reports import merge_reports
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.updateserver import LONG_POLL_SECONDS
from bankrack.fleet.updateserver import UpdateMessage
from bankrack.fleet.updateserver import UPDATES_PATH
from bankrack.fleet.valueparts import parse_outline
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams

UNKNOWN_SERIAL = "none"
"""Serial sent if the follower's view was last confirmed by another node than the
leader."""
ANSWER_TIMEOUT_SECONDS = 0.45
"""Longest wait for a response beyond the long poll."""
SILENCE_TIMEOUT_SECONDS = LONG_POLL_SECONDS + ANSWER_TIMEOUT_SECONDS
TRANSFER_TIMEOUT_SECONDS = 5.0
"""Longest transfer. A megabyte takes a second over the narrowest links, which several
transfers may share."""

_logger = logging.getLogger(__name__)


class LeaderClient:
    """Requests updates from a leader.

    :param address: internal address of this node, as a seed for a restarted leader.
    :ivar heard_at_by_name: boot-time seconds of the last byte of each leader.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        view: View,
        upstreams: Upstreams,
        *,
        address: str,
        uses_engines: t.Callable[[], bool],
        transfers: TransferLog | None = None,
    ) -> None:
        self._transfers = transfers or TransferLog()
        self._session = session
        self._address = address
        self._view = view
        self._upstreams = upstreams
        self._uses_engines = uses_engines
        self.heard_at_by_name: dict[str, float] = {}
        self._serial_by_name: dict[str, str] = {}
        self._sent_by_name: dict[str, float] = {}
        self._lacking_since_by_name: dict[str, int] = {}

    async def ask(self, leader: Member) -> float:
        """Request updates once and apply them; returns the age of the leader's view.

        Raises :exc:`PeerUnavailable`.
        """
        sent_at = boottime()
        serial = self._serial_of(leader)
        query = {
            "serial": serial,
            "since": str(self._since(leader)),
            "sent": str(self._sent_by_name.get(leader.name, 0.0) if serial else 0.0),
            "engines": "1" if self._uses_engines() else "0",
            "address": self._address,
            "parts": "1",
        }
        limit = _timeout()
        url = f"http://{leader.address}{UPDATES_PATH}"
        body = bytearray()
        error = ""
        try:
            async with self._session.get(url, params=query, timeout=limit) as response:
                if response.status != 200:
                    raise PeerNotReady(f"{leader.name}: status {response.status}")
                async for chunk in response.content.iter_any():
                    self.heard_at_by_name[leader.name] = boottime()
                    body += chunk
            message = msgspec.msgpack.decode(body, type=UpdateMessage)
            outlines = [parse_outline(*fields) for fields in message.outlines]
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.MsgspecError,
            PeerDataInvalid,
        ) as e:
            self._serial_by_name.pop(leader.name, None)
            error = repr(e)
            raise PeerUnavailable(f"{leader.name}: {e!r}") from e
        finally:
            self._transfers.note_received(
                _kind_of(serial),
                len(body),
                source=leader.name,
                seconds=boottime() - sent_at,
                error=error,
            )
        for outline in outlines:
            self._view.announce(outline, leader)
        self._apply(leader, message, sent_at)
        return message.age

    def _serial_of(self, leader: Member) -> str:
        """Return the leader's serial that this node's view is based on.

        An empty serial requests all items, and an unknown one those that are newer than
        this node's. Whole views are large, so a node that has a view requests newer
        items only, from any leader.
        """
        if not self._view.confirmed_at:
            return ""
        if self._view.confirmed_by != leader.name:
            return UNKNOWN_SERIAL
        return self._serial_by_name.get(leader.name, UNKNOWN_SERIAL)

    def _since(self, leader: Member) -> int:
        """Return the revision after which items are requested from a leader.

        That of the leader's items comes first: it may be lower, as a change was missed,
        or higher, as part of the newer items arrived.
        """
        complete = self._view.complete_revision
        return self._lacking_since_by_name.get(leader.name, complete)

    def _apply(self, leader: Member, message: UpdateMessage, sent_at: float) -> None:
        view = self._view
        # Counted from the send of the request, so the times are never too late.
        answered_at = sent_at + message.waited
        confirmed_at = answered_at - message.age
        # A leader of an earlier release leaves nothing out.
        whole_age = message.age if message.whole_age is None else message.whole_age
        whole_at = answered_at - whole_age
        if message.failed is not None:
            view.note_told_store_failure(answered_at - message.failed)
        if message.recovered is not None:
            view.note_store_recovery(answered_at - message.recovered)
        items = [Item(key, value, rev) for key, value, rev in message.items]
        if message.keys is not None:
            if not self._has_all_items(leader, message, items):
                # What arrived is kept, so that the next response has only the rest.
                newest = max((item.revision for item in items), default=0)
                view.apply_changes(Snapshot(tuple(items), newest), source=leader.name)
                return
            snapshot = view.complete(message.keys, items)
            assert snapshot is not None
            view.confirm(
                Snapshot(snapshot.items, message.revision),
                asked_at=confirmed_at,
                source=leader.name,
                complete_revision=message.complete_revision,
                pending_keys=[key for key, _, _ in message.outlines],
                whole_at=whole_at,
            )
        else:
            gone = [Item(key, None, message.revision) for key in message.gone]
            view.apply_changes(
                Snapshot((*items, *gone), message.revision),
                source=leader.name,
                complete_revision=message.complete_revision,
            )
            view.note_confirmed(confirmed_at, whole_at=whole_at)
        self._serial_by_name[leader.name] = message.serial
        self._sent_by_name[leader.name] = message.sent
        merge_reports(self._upstreams, message.reports)

    def _has_all_items(
        self, leader: Member, message: UpdateMessage, items: list[Item]
    ) -> bool:
        """Whether all items of the leader's view are known here or among ``items``.

        Otherwise the next request asks for the missing ones.
        """
        self._lacking_since_by_name.pop(leader.name, None)
        sent = {item.key for item in items}
        keys = message.keys or []
        # A leader of an earlier release sends no revisions.
        revisions = message.revisions or [1] * len(keys)
        missing = [
            revision
            for key, revision in zip(keys, revisions, strict=True)
            if key not in sent and not self._view.knows(key, revision)
        ]
        if not missing:
            return True
        since = min(missing) - 1
        self._lacking_since_by_name[leader.name] = since
        logs.event(
            _logger,
            "items_missing",
            leader=leader.name,
            count=len(missing),
            since=since,
        )
        return False


def _kind_of(serial: str) -> str:
    """Return what a request with the given serial asks for, for the log."""
    match serial:
        case "":
            return "whole_view"
        case _ if serial == UNKNOWN_SERIAL:
            return "newer_items"
    return "changes"


def _timeout() -> aiohttp.ClientTimeout:
    """Return the timeout of a request.

    A leader is lost when it falls silent. A long transfer is not cut off while bytes
    arrive: repeated from its start, it would never complete on a narrow link.
    """
    return aiohttp.ClientTimeout(
        total=TRANSFER_TIMEOUT_SECONDS,
        sock_connect=SILENCE_TIMEOUT_SECONDS,
        sock_read=SILENCE_TIMEOUT_SECONDS,
    )
