"""Which node keeps the ledger of a service's engines, and how it is asked.

All nodes compute the same order of the members and ask the first one that answers.
Nodes that disagree for a moment only choose with less knowledge; what they rely on
is the engine's own word that it keeps a place.
"""

import asyncio
import logging
import time
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.fleet.documents import Member
from bankrack.fleet.roster import rank_members
from bankrack.serving.assignment import Assignment
from bankrack.serving.job import Demand
from bankrack.serving.ledger import Ledger
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import Upstreams

PLACE_PATH = "/peer/place"
NOTES_PATH = "/peer/notes"
ASK_SECONDS = 0.04
"""Longest wait for an owner's advice; halls are some ms apart."""
FLUSH_SECONDS = 0.1
"""Notes are sent together; what they tell is used within about a second."""
NOTES_SECONDS = 0.5
DISTRUST_SECONDS = 3.0
"""How long an owner that did not answer is passed over."""
MAX_NOTES = 500
"""Notes kept between two flushes; what comes beyond them is not told."""

_logger = logging.getLogger(__name__)


class AskMessage(msgspec.Struct, array_like=True):
    """Asks where a run should go; sizes in tokens."""

    service: str
    run: str
    prompt: int
    output: int
    memory: int
    hall: str
    avoid: list[str]


class NoteMessage(msgspec.Struct, array_like=True):
    """Tells what became of a run.

    :param what: ``placed``, ``began`` or ``ended``.
    """

    service: str
    run: str
    what: t.Literal["placed", "began", "ended"]
    engine: str = ""
    prompt: int = 0
    output: int = 0


class Ledgers:
    """The ledgers that this node keeps, by service, and their listener."""

    def __init__(self, upstreams: Upstreams) -> None:
        self._upstreams = upstreams
        self._ledger_by_service: dict[str, Ledger] = {}

    def order(self, ask: AskMessage) -> list[Upstream]:
        """Order the engines for a run and count it as placed on the first."""
        ledger = self._ledger(ask.service)
        demand = Demand(prompt=ask.prompt, output_limit=ask.output)
        engines = [
            engine
            for engine in self._upstreams.open_of(ask.service)
            if engine.id not in ask.avoid
        ]
        ordered = ledger.order(engines, demand, memory=ask.memory, hall=ask.hall)
        if ordered:
            ledger.place(ask.run, ordered[0].id, demand)
        return ordered

    def take(self, note: NoteMessage) -> None:
        """Take in what became of a run."""
        ledger = self._ledger(note.service)
        match note.what:
            case "placed":
                demand = Demand(prompt=note.prompt, output_limit=note.output)
                ledger.place(note.run, note.engine, demand)
            case "began":
                ledger.begin(note.run, note.engine)
            case "ended":
                ledger.end(note.run)

    async def handle_ask(self, request: web.Request) -> web.Response:
        """Answer another node that asks."""
        ask = _decode(await request.read(), AskMessage)
        ids = [engine.id for engine in self.order(ask)]
        return web.Response(body=msgspec.msgpack.encode(ids))

    async def handle_notes(self, request: web.Request) -> web.Response:
        """Take in notes of another node."""
        body = await request.read()
        for note in _decode(body, list[NoteMessage]):
            self.take(note)
        return web.Response()

    def _ledger(self, service: str) -> Ledger:
        return self._ledger_by_service.setdefault(service, Ledger())


class OwnerClient:
    """Asks the owner of the ledgers, which may be this node itself.

    :param members: gives the members that live.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        ledgers: Ledgers,
        upstreams: Upstreams,
        *,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._own = own
        self._members = members
        self._ledgers = ledgers
        self._upstreams = upstreams
        self._clock = clock
        self._distrusted_until_by_name: dict[str, float] = {}
        self._notes: list[NoteMessage] = []
        self._noted = asyncio.Event()
        self._owner_name = ""

    def owner(self) -> Member:
        """The first member in the common order that answers."""
        now = self._clock()
        for member in rank_members([*self._members(), self._own]):
            if now >= self._distrusted_until_by_name.get(member.name, 0.0):
                break
        else:
            member = self._own
        if member.name != self._owner_name:
            self._owner_name = member.name
            logs.event(_logger, "owner_chosen", owner=member.name)
        return member

    @property
    def owns(self) -> bool:
        """Whether this node keeps the ledgers."""
        return self.owner().name == self._own.name

    async def order(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> list[Upstream] | None:
        """Order engines for a run; ``None`` where the owner does not answer."""
        demand = work.job.demand
        ask = AskMessage(
            service=work.service.name,
            run=work.job.id,
            prompt=demand.prompt,
            output=demand.expected - demand.prompt,
            memory=memory,
            hall=self._own.hall,
            avoid=list(avoid),
        )
        owner = self.owner()
        if owner.name == self._own.name:
            return self._ledgers.order(ask)
        body = await self._post(owner, PLACE_PATH, ask, ASK_SECONDS)
        if body is None:
            return None
        try:
            ids = msgspec.msgpack.decode(body, type=list[str])
        except msgspec.MsgspecError as error:
            self._distrust(owner, f"its answer does not decode: {error}")
            return None
        found = [self._upstreams.by_id[i] for i in ids if i in self._upstreams.by_id]
        return [engine for engine in found if not engine.leaving]

    def placed(self, work: Assignment, engine: Upstream) -> None:
        """Tell that a run goes to an engine that was not the first."""
        demand = work.job.demand
        output = demand.expected - demand.prompt
        self._note(work, "placed", engine.id, prompt=demand.prompt, output=output)

    def began(self, work: Assignment, engine: Upstream) -> None:
        """Tell that a run makes events, on ``engine``."""
        self._note(work, "began", engine.id)

    def ended(self, work: Assignment) -> None:
        """Tell that a run ended."""
        self._note(work, "ended", "")

    async def run(self) -> None:
        """Send the notes for ever."""
        while True:
            await self._noted.wait()
            await asyncio.sleep(FLUSH_SECONDS)
            self._noted.clear()
            notes, self._notes = self._notes, []
            owner = self.owner()
            if owner.name != self._own.name:
                await self._post(owner, NOTES_PATH, notes, NOTES_SECONDS)
                continue
            for note in notes:
                self._ledgers.take(note)

    def _note(
        self,
        work: Assignment,
        what: t.Literal["placed", "began", "ended"],
        engine: str,
        prompt: int = 0,
        output: int = 0,
    ) -> None:
        note = NoteMessage(work.service.name, work.job.id, what, engine, prompt, output)
        if len(self._notes) < MAX_NOTES:
            self._notes.append(note)
        self._noted.set()

    async def _post(
        self, owner: Member, path: str, message: t.Any, seconds: float
    ) -> bytes | None:
        """Send a message to the owner; ``None`` when it does not answer."""
        url = f"http://{owner.address}{path}"
        data = msgspec.msgpack.encode(message)
        try:
            async with (
                asyncio.timeout(seconds),
                self._session.post(url, data=data) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._distrust(owner, repr(error))
            return None
        if response.status != 200:
            self._distrust(owner, f"status {response.status}")
            return None
        return body

    def _distrust(self, owner: Member, reason: str) -> None:
        until = self._clock() + DISTRUST_SECONDS
        self._distrusted_until_by_name[owner.name] = until
        logs.event(_logger, "owner_lost", owner=owner.name, reason=reason)


def _decode(body: bytes, kind: t.Any) -> t.Any:
    """Decode a message of another node; a malformed one is refused and logged."""
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        logs.event(_logger, "peer_message_invalid", reason=str(error))
        raise web.HTTPBadRequest(text=str(error)) from error
