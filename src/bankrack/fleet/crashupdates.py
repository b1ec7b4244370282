"""Exchange of crashes that requests may have caused, and their quarantine in the store.

Each node sees the crashes of its own runs only, and a request, or others with the same
part of a prompt, may come to any node. So a crash is sent to all members at once,
without a call to the store. A member at which upstreams just got past a part answers
so, which the reporting node passes on. Quarantined traits are also written to the
store, for nodes that start later or were partitioned.
"""

import asyncio
import logging
import random
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.decisions.poison import Crash
from bankrack.exceptions import BankrackError
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.documents import Member
from bankrack.fleet.documents import Quarantine
from bankrack.fleet.messages import decode_message
from bankrack.fleet.store import Store
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.crashregister import RETENTION_SECONDS
from bankrack.utils import stable_digest

CRASHES_PATH = "/peer/crashes"
BATCH_SECONDS = 0.005
"""Pause between notifications, to batch the crashes of streams that break together."""
SAVE_INTERVAL_SECONDS = 0.5
"""Pause between checks for quarantines that the store lacks. A request may be sent on
by nodes that were not notified for at most 3 s after its third crash."""
MAX_SAVING_MEMBERS = 3
"""Members that write a quarantine, in order, if it is still missing in the store."""
MAX_VIEW_AGE_SECONDS = 1.5
"""Age of the view above which the store counts as unavailable and is not written to."""

_logger = logging.getLogger(__name__)


class CrashUpdates:
    """Sends and saves the crashes that this node's register records.

    :param members: returns the live members, with or without this node.
    :param view_age: returns the seconds since the store confirmed this node's view.
    """

    def __init__(
        self,
        broadcast: Broadcast,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        register: CrashRegister,
        store: Store,
        *,
        view_age: t.Callable[[], float],
    ) -> None:
        self._broadcast = broadcast
        self._own = own
        self._members = members
        self._register = register
        self._store = store
        self._view_age = view_age
        self._notifying: set[asyncio.Task[None]] = set()
        register.rank = self._rank

    async def handle(self, request: web.Request) -> web.Response:
        """Apply crashes reported by another node; the response has the objections."""
        body = await request.read()
        source = request.query.get("from", "")
        objections = []
        for quarantine in decode_message(body, list[Quarantine]):
            trait, crashes = quarantine.fingerprint, quarantine.crashes
            self._register.take(trait, crashes, source=source)
            if cleared := self._register.object_to(trait, crashes):
                objections.append(Quarantine(trait, cleared))
        if not objections:
            return web.Response()
        return web.Response(body=msgspec.msgpack.encode(objections))

    def _take_objections(self, member: Member, body: bytes) -> None:
        if not body:
            return
        try:
            objections = decode_message(body, list[Quarantine])
        except web.HTTPBadRequest as error:
            logs.event(
                _logger,
                "objections_unreadable",
                member=member.name,
                reason=error.text,
            )
            return
        for objection in objections:
            self._register.take_objection(
                objection.fingerprint, objection.crashes, source=member.name
            )

    async def run(self) -> None:
        """Notify all members of newly recorded crashes, until cancelled."""
        while True:
            await self._register.has_updates.wait()
            updates_sent = self._register.updates_sent
            updates = self._register.take_updates()
            notifying = asyncio.create_task(self._notify_all(updates, updates_sent))
            self._notifying.add(notifying)
            notifying.add_done_callback(self._notifying.discard)
            await asyncio.sleep(BATCH_SECONDS)

    async def _notify_all(
        self, updates: dict[str, list[Crash]], updates_sent: asyncio.Event
    ) -> None:
        """Notify all other members, with retries.

        :param updates_sent: set once every member was tried once.
        """
        quarantines = [Quarantine(name, crashes) for name, crashes in updates.items()]
        body = msgspec.msgpack.encode(quarantines)
        missing = await self._broadcast.notify(
            CRASHES_PATH,
            body,
            on_first_round=updates_sent.set,
            on_response=self._take_objections,
        )
        if missing:
            names = ",".join(member.name for member in missing)
            logs.event(_logger, "crashes_untold", members=names)

    async def keep_saving(self) -> None:
        """Write quarantines that the store lacks, until cancelled."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_SECONDS * (0.5 + random.random()))
            if self._view_age() > MAX_VIEW_AGE_SECONDS:
                continue
            for fingerprint in self._register.unsaved():
                if self._rank(fingerprint) < MAX_SAVING_MEMBERS:
                    await self._save(fingerprint)

    def _rank(self, fingerprint: str) -> int:
        """Return this node's position in the order of members computed alike by all."""
        names = {m.name for m in self._members()} | {self._own.name}
        ranked = sorted(names, key=lambda name: stable_digest(fingerprint + name))
        return ranked.index(self._own.name)

    async def _save(self, fingerprint: str) -> None:
        quarantine = Quarantine(fingerprint, self._register.crashes(fingerprint))
        try:
            lease = await self._store.grant(RETENTION_SECONDS)
            value = msgspec.json.encode(quarantine)
            await self._store.save_quarantine(fingerprint, value, lease)
        except BankrackError as error:
            logs.event(
                _logger,
                "quarantine_not_saved",
                fingerprint=fingerprint,
                reason=error.message,
            )
            return
        logs.event(_logger, "quarantine_saved", fingerprint=fingerprint)
