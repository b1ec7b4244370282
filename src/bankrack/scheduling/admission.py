"""Requests engine slots and holds them while requests run.

Each group of engines has one owner among the live nodes, chosen by rendezvous
hashing.  A node requests slots from the owner.  While the owner does not
answer, the node decides on its own, within its share of the group's memory.
Correctness does not depend on the owner: it only improves decisions.
"""

import asyncio
import hashlib
import itertools
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control import groups
from bankrack.control.groups import Group
from bankrack.control.intent import Intent
from bankrack.control.intent import Upstream
from bankrack.control.membership import rendezvous
from bankrack.control.messages import Body
from bankrack.control.messages import DetailsReply
from bankrack.control.messages import DetailsRequest
from bankrack.control.messages import MemberRecord
from bankrack.control.messages import Progress
from bankrack.control.messages import SlotDetails
from bankrack.control.messages import SlotProgress
from bankrack.control.messages import SlotReleased
from bankrack.control.messages import SlotReply
from bankrack.control.messages import SlotRequest
from bankrack.control.peers import Peers
from bankrack.control.placement import place
from bankrack.exceptions import PeerUnavailable
from bankrack.scheduling.health import Health
from bankrack.scheduling.owner import Owner
from bankrack.scheduling.scheduler import Scheduler
from bankrack.scheduling.slots import AdmissionRequest
from bankrack.scheduling.slots import EngineSlot
from bankrack.scheduling.slots import no_upstream_error
from bankrack.scheduling.slots import overloaded_error
from bankrack.scheduling.slots import WaitingRequest
from bankrack.wire.reports import LoadReport

OWNER_TIMEOUT_SECONDS = 0.25
REQUEST_INTERVAL_SECONDS = 1.0
"""Seconds after which a queued request is sent to the owner again."""
SUSPICION_SECONDS = 2.0
"""Seconds for which a node that did not answer is not chosen as an owner."""
PROGRESS_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 5.0
ISOLATED_SHARE = 2.0
"""Multiple of its equal share of an engine that an isolated node may use."""
PREFIX_HASH_BYTES = 6
_logger = logging.getLogger(__name__)


class Admission:
    """Obtains engine slots for this node's requests and decides for owned groups.

    :param hall: this node's data hall.
    :param candidates: lists the nodes that may own a group, this one included.
    :param is_leaving: tells whether an upstream must get no new requests.
    :param read_report: reads an engine's load report, ``None`` if it fails.
    :param alone: never contact owners; used for comparison.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        health: Health,
        hall: str,
        candidates: t.Callable[[], t.Sequence[MemberRecord]],
        is_leaving: t.Callable[[Upstream], bool],
        read_report: t.Callable[[Upstream], t.Awaitable[LoadReport | None]],
        alone: bool = False,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.groups_by_name: dict[str, Group] = {}
        self.owners_by_group: dict[str, Owner] = {}
        self.slots_by_id: dict[int, EngineSlot] = {}
        self.waiting_by_id: dict[int, WaitingRequest] = {}
        self.owner_by_group: dict[str, str] = {}
        self.owner_changes = 0
        self.decided_alone = 0
        self._suspected_until: dict[str, float] = {}
        self._peers = peers
        self._health = health
        self._hall = hall
        self._candidates = candidates
        self._is_leaving = is_leaving
        self._read_report = read_report
        self._isolated = alone
        self._clock = clock
        self._intent = Intent()
        self.placement = place(self._intent)
        self._ids = itertools.count(1)
        peers.handle(SlotRequest, self._handle_slot_request)
        peers.handle(SlotReply, self._handle_slot_reply)
        peers.handle(Progress, self._handle_progress)
        peers.handle(DetailsRequest, self._handle_details_request)
        peers.handle(DetailsReply, self._handle_details)
        peers.handle(SlotReleased, self._handle_released)

    # Commands

    def configure(self, intent: Intent) -> None:
        """Apply a new intent to all groups."""
        self._intent = intent
        self.placement = place(intent)
        self.groups_by_name = groups.group_engines(intent)
        for name in list(self.owners_by_group):
            if name not in self.groups_by_name:
                del self.owners_by_group[name]
        for name, owner in self.owners_by_group.items():
            owner.configure(self.groups_by_name[name], intent, self.placement)

    async def place(
        self, request: AdmissionRequest, *, avoid: tuple[str, ...] = ()
    ) -> EngineSlot:
        """Wait for an engine slot.

        :param avoid: names of upstreams that failed the request.
        :raises Overloaded: no slot will be free before the deadline.
        :raises NoUpstream: no upstream serves the request.
        """
        deadline = self._clock() + request.service.queue_seconds
        group = self._choose_group(request, avoid)
        number = next(self._ids)
        waiting = WaitingRequest(number, request, group.name)
        self.waiting_by_id[number] = waiting
        slot: EngineSlot | None = None
        try:
            slot = await self._wait_for_slot(waiting, group, deadline, avoid)
            return slot
        finally:
            del self.waiting_by_id[number]
            if slot is None:
                self._notify_released(waiting.group, number, -1)

    def adopt(
        self, request: AdmissionRequest, upstream: Upstream, produced: int
    ) -> EngineSlot | None:
        """Record the slot of a run that another node started.

        :param produced: tokens that the run has produced.
        """
        for group in self.groups_by_name.values():
            if upstream.name in group.upstreams_by_name:
                number = next(self._ids)
                return self._record_slot(
                    number, upstream, request, group.name, "", produced
                )
        return None

    def release(self, slot: EngineSlot, *, produced: int, finished: bool) -> None:
        """Release a slot and notify the group's owner.

        :param produced: tokens produced, in total.
        :param finished: whether the run reached its end.
        """
        del self.slots_by_id[slot.id]
        length = produced if finished else -1
        self._notify_released(slot.group, slot.id, length)

    async def run(self) -> None:
        """Report progress and run decisions of owned groups until cancelled."""
        reported_at = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = self._clock()
            live = {record.name for record in self._candidates()}
            live.add(self._peers.name)
            for name in list(self.owners_by_group):
                self._tick_owner(name, live)
            if now - reported_at >= PROGRESS_INTERVAL_SECONDS:
                reported_at = now
                self._report_progress()

    async def poll_reports(self) -> None:
        """Poll the load reports of the engines of owned groups until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            for owner in list(self.owners_by_group.values()):
                for upstream in list(owner.group.upstreams_by_name.values()):
                    report = await self._read_report(upstream)
                    if report is not None:
                        owner.take_report(upstream.name, report)

    def _tick_owner(self, name: str, live: set[str]) -> None:
        owner = self.owners_by_group[name]
        if self._owner_of(self.groups_by_name[name]) != self._peers.name:
            # Nodes repeat waiting requests to the new owner and report their
            # running requests to it.
            del self.owners_by_group[name]
            return
        for upstream in owner.group.upstreams_by_name.values():
            engine = owner.scheduler.engines_by_name[upstream.name]
            engine.usable = not self._is_leaving(upstream)
        owner.forget_nodes(live)
        owner.decide()

    async def _wait_for_slot(
        self,
        waiting: WaitingRequest,
        group: Group,
        deadline: float,
        avoid: tuple[str, ...],
    ) -> EngineSlot:
        while True:
            group = self._current_group(group, waiting, avoid)
            name = "" if self._isolated else self._owner_of(group)
            reply = await self._request_from_owner(name, waiting, deadline, avoid)
            if reply is None:
                return self._decide_isolated(waiting, group, avoid)
            if reply.queued:
                reply = await self._wait_for_reply(waiting, deadline)
            if reply is None:
                if self._clock() >= deadline:
                    raise overloaded_error(
                        waiting.request.service, "no slot before the deadline", 1.0
                    )
                continue
            if not reply.upstream:
                raise overloaded_error(
                    waiting.request.service, reply.reason, reply.retry_after
                )
            upstream = group.upstreams_by_name.get(reply.upstream)
            if upstream is None:
                raise no_upstream_error(waiting.request.service)
            return self._record_slot(
                waiting.id, upstream, waiting.request, group.name, name, 0
            )

    def _current_group(
        self, group: Group, waiting: WaitingRequest, avoid: tuple[str, ...]
    ) -> Group:
        """Return the group as configured now, or another one if it was removed."""
        current = self.groups_by_name.get(group.name)
        if current is None:
            current = self._choose_group(waiting.request, avoid)
            waiting.group = current.name
        return current

    async def _request_from_owner(
        self,
        name: str,
        waiting: WaitingRequest,
        deadline: float,
        avoid: tuple[str, ...],
    ) -> SlotReply | None:
        """Request a slot from an owner.

        Returns ``None`` if there is no owner or it does not answer.
        """
        request = self._slot_request(waiting, deadline, avoid)
        if name == self._peers.name:
            return self._get_or_create_owner(waiting.group).handle_request(
                name, request
            )
        if not name:
            return None
        try:
            reply = await self._peers.request(
                name, request, timeout=OWNER_TIMEOUT_SECONDS
            )
        except PeerUnavailable:
            self._suspected_until[name] = self._clock() + SUSPICION_SECONDS
            logs.event(
                _logger,
                "owner_silent",
                level=logging.WARNING,
                group=waiting.group,
                owner=name,
            )
            return None
        return reply if isinstance(reply, SlotReply) else None

    async def _wait_for_reply(
        self, waiting: WaitingRequest, deadline: float
    ) -> SlotReply | None:
        """Wait for the reply to a queued request.

        Returns ``None`` if the request must be sent again, so that a new owner
        learns of it.
        """
        left = min(REQUEST_INTERVAL_SECONDS, max(0.0, deadline - self._clock()))
        done, _ = await asyncio.wait([waiting.future], timeout=left)
        return waiting.future.result() if done else None

    def _decide_isolated(
        self, waiting: WaitingRequest, group: Group, avoid: tuple[str, ...]
    ) -> EngineSlot:
        """Choose the engine with the least load from this node.

        Requests are not queued: beyond the node's share of the memory they are
        refused, so that many isolated nodes together do not fill an engine.
        """
        self.decided_alone += 1
        request = waiting.request
        usable = [
            upstream
            for upstream in group.upstreams_by_name.values()
            if upstream.name not in avoid
            and self.placement.serves(upstream.name, request.service)
            and not self._is_leaving(upstream)
            and self._health.usable(upstream.name)
        ]
        if not usable:
            raise no_upstream_error(request.service)
        held = self._tokens_by_upstream()
        chosen = min(usable, key=lambda u: held.get(u.name, 0) / u.memory_tokens)
        nodes = max(1, len(self._candidates()))
        share = min(1.0, ISOLATED_SHARE / nodes) * chosen.memory_tokens
        own_tokens = held.get(chosen.name, 0)
        if own_tokens and own_tokens + request.prompt_tokens > share:
            raise overloaded_error(
                request.service, "the group's owner does not answer", 1.0
            )
        return self._record_slot(waiting.id, chosen, request, group.name, "", 0)

    def _record_slot(
        self,
        number: int,
        upstream: Upstream,
        request: AdmissionRequest,
        group: str,
        owner: str,
        produced: int,
    ) -> EngineSlot:
        slot = EngineSlot(number, upstream, request, group=group, owner=owner)
        slot.produced = produced
        self.slots_by_id[number] = slot
        self._health.started(upstream.name)
        return slot

    def _report_progress(self) -> None:
        """Report held slots and waiting requests to each group's owner."""
        held_by_group: dict[str, list[SlotProgress]] = {}
        waiting_by_group: dict[str, list[int]] = {}
        for slot in self.slots_by_id.values():
            held = held_by_group.setdefault(slot.group, [])
            held.append(SlotProgress(slot.id, slot.produced))
        for waiting in self.waiting_by_id.values():
            waiting_by_group.setdefault(waiting.group, []).append(waiting.id)
        for name in held_by_group.keys() | waiting_by_group.keys():
            message = Progress(
                name, held_by_group.get(name, []), waiting_by_group.get(name, [])
            )
            self._send_owner(name, message)

    def _notify_released(self, group: str, number: int, length: int) -> None:
        self._send_owner(group, SlotReleased(group, number, length))

    def _send_owner(self, group_name: str, body: Body) -> None:
        group = self.groups_by_name.get(group_name)
        if group is None or self._isolated:
            return
        self._send(self._owner_of(group), body)

    def _send(self, node: str, body: Body) -> None:
        """Send a message to a node; handle it directly if that is this node."""
        if node != self._peers.name:
            self._peers.send(node, body)
            return
        match body:
            case SlotReply():
                self._resolve(body)
            case Progress():
                self._get_or_create_owner(body.group).progress(node, body)
            case DetailsRequest():
                self._get_or_create_owner(body.group).take_details(
                    node, self._details(body)
                )
            case SlotReleased():
                self._get_or_create_owner(body.group).ended(node, body)
            case _:
                raise AssertionError(f"node sent itself a {type(body).__name__}")

    def _get_or_create_owner(self, name: str) -> Owner:
        """Return the owner state of a group, created at first use."""
        owner = self.owners_by_group.get(name)
        if owner is None:
            group = self.groups_by_name[name]
            owner = Owner(group, send=self._send, is_leaving=self._is_leaving)
            owner.configure(group, self._intent, self.placement)
            self.owners_by_group[name] = owner
            logs.event(_logger, "owner_began", group=name)
        return owner

    def _resolve(self, reply: SlotReply) -> None:
        waiting = self.waiting_by_id.get(reply.id)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(reply)

    # Queries

    def _owner_of(self, group: Group) -> str:
        """Name the group's owner: a live node of its hall, else any live node."""
        now = self._clock()
        records = [
            record
            for record in self._candidates()
            if self._suspected_until.get(record.name, 0.0) <= now
        ]
        near = [record for record in records if record.hall == group.hall]
        name = rendezvous(group.name, [r.name for r in near or records])
        if self.owner_by_group.get(group.name) != name:
            self.owner_by_group[group.name] = name
            self.owner_changes += 1
            logs.event(_logger, "owner_changed", group=group.name, owner=name)
        return name

    def _choose_group(self, request: AdmissionRequest, avoid: tuple[str, ...]) -> Group:
        """Choose a group by the prompt's prefix, preferring this node's hall.

        Requests that share a prefix use the same group and its prefix caches.
        """
        serving = [
            group
            for group in groups.groups_of(self.groups_by_name, request.service)
            if any(
                name not in avoid
                and self.placement.serves(name, request.service)
                and not self._is_leaving(upstream)
                for name, upstream in group.upstreams_by_name.items()
            )
        ]
        if not serving:
            raise no_upstream_error(request.service)
        near = [group for group in serving if group.hall == self._hall]
        choices = {group.name: group for group in near or serving}
        key = request.prefix or request.request_id
        return choices[rendezvous(key, choices)]

    def _slot_request(
        self, waiting: WaitingRequest, deadline: float, avoid: tuple[str, ...]
    ) -> SlotRequest:
        request = waiting.request
        group = self.groups_by_name[waiting.group]
        ejected = [
            name for name in group.upstreams_by_name if not self._health.usable(name)
        ]
        return SlotRequest(
            group=waiting.group,
            id=waiting.id,
            workspace=request.workspace,
            service=request.service.name,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix=_prefix_hash(request.prefix),
            wait_seconds=max(0.0, deadline - self._clock()),
            avoid=sorted({*avoid, *ejected}),
        )

    def _tokens_by_upstream(self) -> dict[str, int]:
        held: dict[str, int] = {}
        for slot in self.slots_by_id.values():
            tokens = slot.request.prompt_tokens + slot.produced
            name = slot.upstream.name
            held[name] = held.get(name, 0) + tokens
        return held

    def _details(self, request: DetailsRequest) -> DetailsReply:
        held_slots = []
        for number in request.ids:
            slot = self.slots_by_id.get(number)
            if slot is None or slot.group != request.group:
                continue
            known = slot.request
            held_slots.append(
                SlotDetails(
                    id=number,
                    upstream=slot.upstream.name,
                    workspace=known.workspace,
                    service=known.service.name,
                    prompt_tokens=known.prompt_tokens,
                    max_tokens=known.max_tokens,
                    produced=slot.produced,
                )
            )
        return DetailsReply(request.group, held_slots)

    def scheduler_of(self, group: str) -> Scheduler | None:
        """Return the scheduler of a group, ``None`` unless this node owns it."""
        owner = self.owners_by_group.get(group)
        return owner.scheduler if owner is not None else None

    # Message handlers

    async def _handle_slot_request(
        self, sender: str, request: SlotRequest
    ) -> SlotReply:
        if request.group not in self.groups_by_name:
            raise PeerUnavailable(
                "the group is not yet known to its owner", retry_after=1.0
            )
        return self._get_or_create_owner(request.group).handle_request(sender, request)

    async def _handle_slot_reply(self, sender: str, reply: SlotReply) -> None:
        self._resolve(reply)

    async def _handle_progress(self, sender: str, message: Progress) -> None:
        if message.group in self.groups_by_name:
            self._get_or_create_owner(message.group).progress(sender, message)

    async def _handle_details_request(
        self, sender: str, request: DetailsRequest
    ) -> None:
        self._peers.send(sender, self._details(request))

    async def _handle_details(self, sender: str, message: DetailsReply) -> None:
        if message.group in self.groups_by_name:
            self._get_or_create_owner(message.group).take_details(sender, message)

    async def _handle_released(self, sender: str, message: SlotReleased) -> None:
        owner = self.owners_by_group.get(message.group)
        if owner is not None:
            owner.ended(sender, message)


def _prefix_hash(prefix: str) -> str:
    if not prefix:
        return ""
    digest = hashlib.blake2b(prefix.encode(), digest_size=PREFIX_HASH_BYTES)
    return digest.hexdigest()
