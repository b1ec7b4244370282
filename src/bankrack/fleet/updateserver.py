"""Sends followers what changed in this node's view, and engine reports.

Long polling over HTTP on each node's internal address, which the state dump and the
metrics share. The leader responds on a change or after a short time, so each response
also shows that the leader is alive. Large values are not part of a response, only their
outlines are.
"""

import asyncio
import contextlib
import dataclasses
import functools
import logging
import math
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.fleet.reports import encode_reports
from bankrack.fleet.reports import ReportMessage
from bankrack.fleet.store import Item
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.valueparts import LARGE_VALUE_BYTES
from bankrack.fleet.valueparts import Outline
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View
from bankrack.fleet.wholeviews import CACHE_SECONDS
from bankrack.fleet.wholeviews import WholeViews
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream

UPDATES_PATH = "/peer/updates"
LONG_POLL_SECONDS = 0.25
"""Longest time for which a leader holds back its response."""
MAX_ITEM_BYTES = 256 * 1024
"""Bytes of items from which on the others are left to the next response, so that an
interrupted transfer loses little."""

_logger = logging.getLogger(__name__)


class UpdateMessage(msgspec.Struct):
    """Response of a leader to a follower.

    :param keys: all keys in force; ``None`` if the follower's serial is known and only
        changes since then are sent.
    :param items: items changed since that serial, or since the requested revision.
    :param gone: keys of items removed since that serial.
    :param serial: identifies the state of the leader's view; changes with each change.
    :param age: seconds since the store confirmed the leader's view.
    :param waited: seconds for which the response was held back.
    :param sent: the leader's clock; echoed in the follower's next request.
    :param reports: engine reports received since the last response.
    :param complete_revision: revision up to which the leader knows all items.
    :param revisions: revisions of the items of ``keys``, in their order.
    :param failed: seconds since the store failed, if that was after the leader's view
        was confirmed.
    :param recovered: seconds since the store recovered, during the grace period for
        entries that expired in the outage.
    :param outlines: keys, joined digests and revisions of large values, which are not
        among ``items`` and are requested in parts.
    :param whole_age: the same as ``age``, but for confirmations that left out a large
        value.
    """

    serial: str
    revision: int
    age: float
    waited: float
    sent: float
    keys: list[str] | None
    items: list[tuple[str, bytes, int]]
    gone: list[str]
    reports: list[ReportMessage]
    complete_revision: int | None = None
    revisions: list[int] = []
    failed: float | None = None
    recovered: float | None = None
    outlines: list[tuple[str, bytes, int]] = []
    whole_age: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class _FollowerState:
    """State of the follower as stated in its request.

    :param serial: last serial received from this leader; empty if the whole view is
        requested.
    :param since: revision up to which the follower knows all items.
    :param sent: the leader's clock in its last response.
    :param engines: whether the follower uses engines.
    :param takes_outlines: whether the follower requests large values in parts; one of
        an earlier release does not.
    """

    serial: str
    since: int
    sent: float
    engines: bool
    takes_outlines: bool


def _parse_follower_state(query: t.Mapping[str, str]) -> _FollowerState:
    """Decode a request; rejects and logs a malformed one."""
    try:
        return _FollowerState(
            serial=query.get("serial", ""),
            since=int(query.get("since", "0")),
            sent=_finite(float(query.get("sent", "0"))),
            engines=query.get("engines") == "1",
            takes_outlines=query.get("parts") == "1",
        )
    except ValueError as error:
        logs.event(_logger, "peer_message_invalid", reason=str(error))
        raise web.HTTPBadRequest(text=str(error)) from error


def _finite(seconds: float) -> float:
    """Return a time as it is; raises :exc:`ValueError` unless it is finite."""
    if not math.isfinite(seconds):
        raise ValueError(f"a time must be a finite number, got {seconds}")
    return seconds


class UpdateServer:
    """Answers the requests of followers.

    :param name: unique name of this process; serials start anew with each process.
    :param note_engines: called if a follower uses engines.
    :param note_requester: called with the address of a node whose request arrives
        before this node has a view.
    :param count: called with the outcome of each request for a whole view.
    :param link_mbps: rate of this node's link in Mbit/s; 0 if unknown.
    :param parts: keeps the parts of the large values that followers request.
    :param transfers: records the responses.
    """

    def __init__(
        self,
        view: View,
        upstreams: Upstreams,
        *,
        parts: ValueParts,
        name: str,
        note_engines: t.Callable[[], None],
        note_requester: t.Callable[[str], None],
        count: t.Callable[[str], None] = lambda outcome: None,
        link_mbps: float = 0.0,
        transfers: TransferLog | None = None,
    ) -> None:
        self._view = view
        self._upstreams = upstreams
        self._parts = parts
        self._name = name
        self._note_engines = note_engines
        self._note_requester = note_requester
        self._relayed_engines: list[Upstream] = []
        self._relayed_engines_key: tuple[int, int] | None = None
        self._transfers = transfers or TransferLog()
        self._whole_views_by_takes_outlines = {
            takes_outlines: WholeViews(
                functools.partial(self._encode_whole_view, takes_outlines),
                count,
                link_mbps=link_mbps,
            )
            for takes_outlines in (False, True)
        }

    async def handle(self, request: web.Request) -> web.Response:
        """Respond on a change or a new confirmation, or when the long poll ends."""
        view = self._view
        if not view.confirmed_at:
            if address := request.query.get("address"):
                self._note_requester(address)
            return web.Response(status=503)
        started_at = boottime()
        state = _parse_follower_state(request.query)
        if state.engines:
            self._note_engines()
        if state.serial == self._serial():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(view.updated.wait(), LONG_POLL_SECONDS)
        if not state.serial:
            whole_views = self._whole_views_by_takes_outlines[state.takes_outlines]
            response = await whole_views.send(request)
            self._note_sent("whole_view", response, request)
            return response
        message = self._build_message(state, waited=boottime() - started_at)
        response = web.Response(body=msgspec.msgpack.encode(message))
        kind = "changes" if message.keys is None else "newer_items"
        self._note_sent(kind, response, request)
        return response

    def _note_sent(
        self, kind: str, response: web.Response, request: web.Request
    ) -> None:
        size = len(t.cast(bytes, response.body or b""))
        self._transfers.note_sent(kind, size, to=request.query.get("address", ""))

    def _encode_whole_view(self, takes_outlines: bool) -> bytes:
        state = _FollowerState("", 0, 0.0, False, takes_outlines)
        message = self._build_message(state, waited=0.0)
        # The age when the encoded view is sent for the last time.
        message.age += CACHE_SECONDS
        message.whole_age = self._view.whole_age + CACHE_SECONDS
        return msgspec.msgpack.encode(message)

    def _serial(self) -> str:
        return f"{self._name}/{self._view.serial}"

    def _build_message(self, state: _FollowerState, *, waited: float) -> UpdateMessage:
        view = self._view
        changed = self._keys_changed_since(state)
        message = UpdateMessage(
            serial=self._serial(),
            revision=view.revision,
            age=view.age,
            waited=waited,
            sent=boottime(),
            keys=None,
            items=[],
            gone=[],
            reports=encode_reports(self._engines_to_relay(), learned_after=state.sent),
            complete_revision=view.complete_revision,
            failed=view.failed_seconds,
            recovered=view.recovered_seconds,
            whole_age=view.whole_age,
        )
        if changed is None:
            message.keys = [item.key for item in view.items]
            message.revisions = [item.revision for item in view.items]
            self._put_newer_items(message, state)
            changed = set(view.pending.by_key)
        for key in changed:
            known = view.item(key)
            pending = view.pending.by_key.get(key)
            if pending is not None and state.takes_outlines:
                self._put_outline(pending.outline, message)
            elif message.keys is not None:
                continue
            elif known is not None:
                self._put_item(known, message, state)
            elif pending is None:
                message.gone.append(key)
        return message

    def _put_newer_items(self, message: UpdateMessage, state: _FollowerState) -> None:
        """Add the items since a revision, the oldest first, as many as may be sent.

        The follower keeps them and requests the rest. A whole view has all items, and a
        follower of an earlier release gets all, as it keeps none of a part of them.
        """
        since = state.since if state.serial else 0
        newer = [item for item in self._view.items if item.revision > since]
        is_bounded = bool(state.serial) and state.takes_outlines
        if is_bounded:
            newer.sort(key=lambda item: item.revision)
        size = 0
        for item in newer:
            if is_bounded and size >= MAX_ITEM_BYTES:
                break
            self._put_item(item, message, state)
            size += len(item.value or b"")

    def _put_item(
        self, item: Item, message: UpdateMessage, state: _FollowerState
    ) -> None:
        """Add an item to a message, or its outline if it is large."""
        value = item.value or b""
        if state.takes_outlines and len(value) >= LARGE_VALUE_BYTES:
            self._put_outline(self._parts.outline_of(item), message)
        else:
            message.items.append((item.key, value, item.revision))

    def _put_outline(self, outline: Outline, message: UpdateMessage) -> None:
        digests = outline.joined_digests()
        message.outlines.append((outline.key, digests, outline.revision))

    def _keys_changed_since(self, state: _FollowerState) -> set[str] | None:
        """Return the keys changed since a serial; ``None`` if all keys must be sent."""
        name, _, number = state.serial.rpartition("/")
        if name != self._name or not number.isdigit():
            return None
        changed = self._view.keys_changed_since(int(number))
        if changed is None or not state.takes_outlines:
            return changed
        return changed if self._small_item_bytes(changed) <= MAX_ITEM_BYTES else None

    def _small_item_bytes(self, keys: t.Iterable[str]) -> int:
        """Return the size of the items that are not sent in parts."""
        items = (self._view.item(key) for key in keys)
        sizes = (len(item.value or b"") for item in items if item is not None)
        return sum(size for size in sizes if size < LARGE_VALUE_BYTES)

    def _engines_to_relay(self) -> list[Upstream]:
        """Return the upstreams of services with one pool.

        Reports of other engines are sent by the pool owners with their responses.
        """
        key = self._view.serial, self._upstreams.pool_counts.changes
        if self._relayed_engines_key != key:
            upstreams = self._upstreams.by_id.values()
            services = {u.record.service for u in upstreams}
            whole = {s for s in services if self._upstreams.pools_of(s) == 1}
            self._relayed_engines = [u for u in upstreams if u.record.service in whole]
            self._relayed_engines_key = key
        return self._relayed_engines
