"""The owner of a group: it grants places to all nodes from one view.

The view is soft state.  An owner that just took over learns from the nodes'
progress what they hold, and no promise rests on there being only one owner.
"""

import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.groups import Group
from bankrack.control.intent import Intent
from bankrack.control.intent import Upstream
from bankrack.control.messages import Body
from bankrack.control.messages import Details
from bankrack.control.messages import DetailsAsk
from bankrack.control.messages import DetailsReply
from bankrack.control.messages import Ended
from bankrack.control.messages import PlaceAsk
from bankrack.control.messages import PlaceReply
from bankrack.control.messages import Progress
from bankrack.control.placement import Placement
from bankrack.scheduling.policies import Forecast
from bankrack.scheduling.policies import Policy
from bankrack.scheduling.policies import Request
from bankrack.scheduling.scheduler import Decision
from bankrack.scheduling.scheduler import Grant
from bankrack.scheduling.scheduler import Refusal
from bankrack.scheduling.scheduler import Scheduler
from bankrack.wire.reports import LoadReport

UNSEEN_SECONDS = 1.5
_logger = logging.getLogger(__name__)


class PlaceId(t.NamedTuple):
    """A place, as an owner names it: the node and its own number."""

    node: str
    number: int


class Owner:
    """Decides for one group.

    :param send: delivers a message to a node, this one included.
    :param is_leaving: tells whether an upstream is to get no new work.
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
        self._since_by_place: dict[PlaceId, float] = {}
        self._priorities_by_service: dict[str, int] = {}
        self._preemptions_by_upstream: dict[str, int] = {}
        self.preemptions = 0

    def configure(self, group: Group, intent: Intent, placement: Placement) -> None:
        """Take the engines, services, shares and placement of an intent."""
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

    def ask(self, node: str, ask: PlaceAsk) -> PlaceReply:
        """Answer a node at once: granted, queued or refused."""
        place = PlaceId(node, ask.id)
        now = self._clock()
        granted = self.scheduler.engine_by_granted.get(place)
        if granted is not None:
            return PlaceReply(ask.id, upstream=granted)
        if place not in self.scheduler.waiting_by_id:
            refusal = self.scheduler.submit(self._request(place, ask, now), now)
            if refusal is not None:
                return _refused(ask.id, refusal)
            self._since_by_place[place] = now
        reply = PlaceReply(ask.id, queued=True)
        for decision in self.scheduler.decide(now):
            if decision.request.id == place:
                reply = self._reply_of(decision)
            else:
                self._tell(decision)
        return reply

    def ended(self, node: str, message: Ended) -> None:
        """Take a place back."""
        place = PlaceId(node, message.id)
        self._since_by_place.pop(place, None)
        self.scheduler.withdraw(place)
        length = message.length if message.length >= 0 else None
        self.scheduler.ended(place, length)
        self.decide()

    def decide(self) -> None:
        """Grant what fits now."""
        if not self.scheduler.waiting_by_id:
            return
        for decision in self.scheduler.decide(self._clock()):
            self._tell(decision)

    def take_report(self, upstream: str, report: LoadReport) -> None:
        """Take an engine's own report; new preemptions make for caution."""
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
        """Take all that a node holds; drop what it no longer does."""
        now = self._clock()
        known = self.scheduler.engine_by_granted
        unknown = []
        for held in message.held:
            place = PlaceId(node, held.id)
            if place in known:
                self.scheduler.progressed(place, held.produced, now)
            else:
                unknown.append(held.id)
        if unknown:
            self._send(node, DetailsAsk(self.group.name, unknown))
        current = {held.id for held in message.held}
        self._drop_unseen(node, current | set(message.waiting), now)

    def take_details(self, node: str, message: DetailsReply) -> None:
        """Adopt places that another owner granted."""
        now = self._clock()
        for place in message.places:
            request = self._adopted(node, place, now)
            self.scheduler.adopt(request, place.upstream, place.produced, now)
            self._since_by_place[PlaceId(node, place.id)] = now

    def forget_nodes(self, live: t.Collection[str]) -> None:
        """Drop all that nodes held that are no longer live."""
        gone = {p.node for p in self._since_by_place if p.node not in live}
        for node in gone:
            logs.event(_logger, "owner_forgets_node", group=self.group.name, node=node)
            self._drop_unseen(node, set(), float("inf"))
        if gone:
            self.decide()

    def _drop_unseen(self, node: str, seen: set[int], now: float) -> None:
        for place, since in list(self._since_by_place.items()):
            old = now - since > UNSEEN_SECONDS
            if place.node == node and place.number not in seen and old:
                del self._since_by_place[place]
                self.scheduler.withdraw(place)
                self.scheduler.ended(place, None)

    def _request(self, place: PlaceId, ask: PlaceAsk, now: float) -> Request:
        return Request(
            id=place,
            workspace=ask.workspace,
            service=ask.service,
            priority=self._priorities_by_service.get(ask.service, 1),
            prompt_tokens=ask.prompt_tokens,
            max_tokens=ask.max_tokens,
            submitted=now,
            deadline=now + ask.wait_seconds,
            prefix=ask.prefix,
            avoid=tuple(ask.avoid),
        )

    def _adopted(self, node: str, place: Details, now: float) -> Request:
        return Request(
            id=PlaceId(node, place.id),
            workspace=place.workspace,
            service=place.service,
            priority=self._priorities_by_service.get(place.service, 1),
            prompt_tokens=place.prompt_tokens,
            max_tokens=place.max_tokens,
            submitted=now,
            deadline=now,
        )

    def _tell(self, decision: Decision) -> None:
        place = t.cast(PlaceId, decision.request.id)
        self._send(place.node, self._reply_of(decision))

    def _reply_of(self, decision: Decision) -> PlaceReply:
        place = t.cast(PlaceId, decision.request.id)
        match decision:
            case Grant(_, engine):
                self._since_by_place[place] = self._clock()
                return PlaceReply(place.number, upstream=engine)
            case Refusal():
                self._since_by_place.pop(place, None)
                return _refused(place.number, decision)


def _refused(number: int, refusal: Refusal) -> PlaceReply:
    return PlaceReply(
        number, retry_after=max(0.1, refusal.retry_after), reason=refusal.reason
    )
