"""The owner of a group of engines, which grants slots to all nodes.

Its state is soft: a new owner rebuilds it from the nodes' progress reports, and
correctness does not depend on there being only one owner.
"""

import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.groups import Group
from bankrack.control.intent import Intent
from bankrack.control.intent import Upstream
from bankrack.control.messages import Body
from bankrack.control.messages import DetailsReply
from bankrack.control.messages import DetailsRequest
from bankrack.control.messages import Progress
from bankrack.control.messages import SlotDetails
from bankrack.control.messages import SlotReleased
from bankrack.control.messages import SlotReply
from bankrack.control.messages import SlotRequest
from bankrack.control.placement import Placement
from bankrack.scheduling.policies import Forecast
from bankrack.scheduling.policies import Policy
from bankrack.scheduling.policies import Request
from bankrack.scheduling.scheduler import Decision
from bankrack.scheduling.scheduler import Grant
from bankrack.scheduling.scheduler import Refusal
from bankrack.scheduling.scheduler import Scheduler
from bankrack.wire.reports import LoadReport

UNREPORTED_GRACE_SECONDS = 1.5
"""Seconds for which a new slot may be missing from its node's reports."""
_logger = logging.getLogger(__name__)


class SlotId(t.NamedTuple):
    """Identifies a slot: the node that holds it and that node's own number."""

    node: str
    number: int


class Owner:
    """Schedules the requests of all nodes on the engines of one group.

    :param send: delivers a message to a node, this one included.
    :param is_leaving: tells whether an upstream must get no new requests.
    """

    def __init__(
        self,
        group: Group,
        *,
        send: t.Callable[[str, Body], None],
        is_leaving: t.Callable[[Upstream], bool],
        policy: Policy | None = None,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.group = group
        self.scheduler = Scheduler(policy or Forecast())
        self._send = send
        self._is_leaving = is_leaving
        self._clock = clock
        self._added_at_by_slot: dict[SlotId, float] = {}
        self._priorities_by_service: dict[str, int] = {}
        self._preemptions_by_upstream: dict[str, int] = {}
        self.preemptions = 0

    def configure(self, group: Group, intent: Intent, placement: Placement) -> None:
        """Apply the engines, services, shares and placement of an intent."""
        self.group = group
        scheduler = self.scheduler
        for name in list(scheduler.engines_by_name):
            if name not in group.upstreams_by_name:
                scheduler.remove_engine(name)
        for upstream in group.upstreams_by_name.values():
            engine = scheduler.set_engine(upstream.name, upstream.memory_tokens)
            engine.usable = not self._is_leaving(upstream)
        scheduler.shares_by_workspace = {
            workspace.name: workspace.share
            for workspace in intent.workspaces_by_name.values()
        }
        scheduler.serving_by_service = {
            service.name: frozenset(
                name
                for name in group.upstreams_by_name
                if placement.serves(name, service)
            )
            for service in intent.services_by_name.values()
        }
        self._priorities_by_service = {
            service.name: service.priority
            for service in intent.services_by_name.values()
        }

    def handle_request(self, node: str, message: SlotRequest) -> SlotReply:
        """Reply to a node at once: granted, queued or refused."""
        slot = SlotId(node, message.id)
        now = self._clock()
        granted = self.scheduler.engine_by_granted.get(slot)
        if granted is not None:
            return SlotReply(message.id, upstream=granted)
        if slot not in self.scheduler.waiting_by_id:
            refusal = self.scheduler.submit(
                self._scheduler_request(slot, message, now), now
            )
            if refusal is not None:
                return _refusal_reply(message.id, refusal)
            self._added_at_by_slot[slot] = now
        reply = SlotReply(message.id, queued=True)
        for decision in self.scheduler.decide(now):
            if decision.request.id == slot:
                reply = self._reply_of(decision)
            else:
                self._send_decision(decision)
        return reply

    def ended(self, node: str, message: SlotReleased) -> None:
        """Release a slot, or withdraw the request if it still waits."""
        slot = SlotId(node, message.id)
        self._added_at_by_slot.pop(slot, None)
        self.scheduler.withdraw(slot)
        length = message.length if message.length >= 0 else None
        self.scheduler.ended(slot, length)
        self.decide()

    def decide(self) -> None:
        """Run the scheduler and send its decisions to the nodes."""
        if not self.scheduler.waiting_by_id:
            return
        for decision in self.scheduler.decide(self._clock()):
            self._send_decision(decision)

    def take_report(self, upstream: str, report: LoadReport) -> None:
        """Apply an engine's load report; new preemptions increase the caution."""
        engine = self.scheduler.engines_by_name.get(upstream)
        if engine is None:
            return
        engine.reported_tokens = report.memory_share * engine.memory_tokens
        before = self._preemptions_by_upstream.get(upstream, report.preemptions)
        self._preemptions_by_upstream[upstream] = report.preemptions
        fresh = report.preemptions - before
        if fresh > 0:
            self.preemptions += fresh
            self.scheduler.preempted(fresh, self._clock())
            logs.event(_logger, "preempted", upstream=upstream, count=fresh)

    def progress(self, node: str, message: Progress) -> None:
        """Apply a node's progress report and release the slots not in it.

        Details of slots that this owner does not know are requested.
        """
        now = self._clock()
        known = self.scheduler.engine_by_granted
        unknown = []
        for held in message.held:
            slot = SlotId(node, held.id)
            if slot in known:
                self.scheduler.progressed(slot, held.produced, now)
            else:
                unknown.append(held.id)
        if unknown:
            self._send(node, DetailsRequest(self.group.name, unknown))
        current = {held.id for held in message.held}
        self._drop_unreported(node, current | set(message.waiting), now)

    def take_details(self, node: str, message: DetailsReply) -> None:
        """Adopt slots that another owner granted."""
        now = self._clock()
        for slot in message.slots:
            request = self._adopted_request(node, slot, now)
            self.scheduler.adopt(request, slot.upstream, slot.produced, now)
            self._added_at_by_slot[SlotId(node, slot.id)] = now

    def forget_nodes(self, live: t.Collection[str]) -> None:
        """Release all slots and withdraw all requests of nodes that are not live."""
        removed = {p.node for p in self._added_at_by_slot if p.node not in live}
        for node in removed:
            logs.event(_logger, "owner_forgets_node", group=self.group.name, node=node)
            self._drop_unreported(node, set(), float("inf"))
        if removed:
            self.decide()

    def _drop_unreported(self, node: str, seen: set[int], now: float) -> None:
        for slot, since in list(self._added_at_by_slot.items()):
            old = now - since > UNREPORTED_GRACE_SECONDS
            if slot.node == node and slot.number not in seen and old:
                del self._added_at_by_slot[slot]
                self.scheduler.withdraw(slot)
                self.scheduler.ended(slot, None)

    def _scheduler_request(
        self, slot: SlotId, message: SlotRequest, now: float
    ) -> Request:
        return Request(
            id=slot,
            workspace=message.workspace,
            service=message.service,
            priority=self._priorities_by_service.get(message.service, 1),
            prompt_tokens=message.prompt_tokens,
            max_tokens=message.max_tokens,
            submitted=now,
            deadline=now + message.wait_seconds,
            prefix=message.prefix,
            avoid=tuple(message.avoid),
        )

    def _adopted_request(self, node: str, slot: SlotDetails, now: float) -> Request:
        return Request(
            id=SlotId(node, slot.id),
            workspace=slot.workspace,
            service=slot.service,
            priority=self._priorities_by_service.get(slot.service, 1),
            prompt_tokens=slot.prompt_tokens,
            max_tokens=slot.max_tokens,
            submitted=now,
            deadline=now,
        )

    def _send_decision(self, decision: Decision) -> None:
        slot = t.cast(SlotId, decision.request.id)
        self._send(slot.node, self._reply_of(decision))

    def _reply_of(self, decision: Decision) -> SlotReply:
        slot = t.cast(SlotId, decision.request.id)
        match decision:
            case Grant(_, engine):
                self._added_at_by_slot[slot] = self._clock()
                return SlotReply(slot.number, upstream=engine)
            case Refusal():
                self._added_at_by_slot.pop(slot, None)
                return _refusal_reply(slot.number, decision)


def _refusal_reply(number: int, refusal: Refusal) -> SlotReply:
    return SlotReply(
        number, retry_after=max(0.1, refusal.retry_after), reason=refusal.reason
    )
