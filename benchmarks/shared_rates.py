"""Simulates algorithms by which nodes share an upstream's rate limit.

``python -m benchmarks.shared_rates``.  Requests arrive at random, ``DEMAND`` times as
many as the rate limit allows.  The algorithms run on the same random draws: ``kept``,
the gateway's own, with one coordinator for each upstream; ``lent``, with an equal part
for each node, which nodes lend each other; ``drawn``, with whole requests assigned to
random nodes.

Results: the fraction of the rate limit used after ``WARMUP_SECONDS``; the most requests
in any permit window as a fraction of those allowed (``OVERSHOOT`` times the limit, plus
``SLACK``); the messages per request sent; and the processor time per attempt.
"""

import argparse
import asyncio
import dataclasses
import random
import time
import typing as t

from bankrack.decisions.coldstart import node_quota
from bankrack.decisions.permits import PERMIT_WINDOW_SECONDS
from bankrack.decisions.permits import PermitRequester
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.limitupdates import LimitReceiver
from bankrack.fleet.permits import PermitClient
from bankrack.fleet.permits import PermitCoordinator
from bankrack.metrics import GatewayMetrics
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.registry import Upstreams
from bankrack.serving.sendlog import SendLog
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord

OVERSHOOT = 1.5
SLACK = 5
DEMAND = 3.0
"""Arrival rate of requests, as a multiple of the rate limit."""
SIMULATED_SECONDS = 60.0
WARMUP_SECONDS = 10.0
FAULT_AT_SECONDS = 25.0
LEASE_SECONDS = 12.0
"""Time until the lease of a killed node expires."""
MAX_VIEW_DELAY_SECONDS = 1.0
"""Longest delay until a node notices a change of members; it differs by node."""
RESTART_SECONDS = 2.0
MAX_LENDERS_ASKED = 8
"""Most nodes that ``lent`` asks for one request, as a gateway does for a retry."""
FAULTS = ("none", "cut", "killed", "all killed", "doubled")
UPSTREAM = "u"


class Fleet:
    """Simulated nodes, their views of the members, and a virtual clock.

    :param rate: rate limit in requests/s.
    :param fault: one of ``FAULTS``.
    """

    def __init__(self, count: int, rate: float, fault: str, seed: int) -> None:
        self.now = 1000.0
        self.rate = rate
        self.fault = fault
        self.rng = random.Random(seed)
        self.members = [Member(f"n-{n}", f"10.0.0.{n}:1", "a") for n in range(count)]
        joining = count if fault == "doubled" else 0
        self.joining = [Member(f"j-{n}", f"10.1.0.{n}:1", "a") for n in range(joining)]
        self.joined_at = {
            m.name: 1000.0
            + FAULT_AT_SECONDS
            + self.rng.random() * MAX_VIEW_DELAY_SECONDS
            for m in self.joining
        }
        self.gone_at: dict[str, float] = {}
        self.sent: list[float] = []
        self.messages = 0

    def view_of(self, name: str) -> list[Member]:
        """The members in a node's current view."""
        offset = random.Random(name).random() * MAX_VIEW_DELAY_SECONDS
        joined = [m for m in self.joining if self.now > self.joined_at[m.name] + offset]
        gone = {
            n
            for n, at in self.gone_at.items()
            if self.now > at + LEASE_SECONDS + offset
        }
        return [m for m in [*self.members, *joined] if m.name not in gone]

    def reaches(self, one: str, other: str) -> bool:
        """Whether two nodes can exchange messages."""
        return not {one, other} & self.gone_at.keys()

    def alive(self) -> list[Member]:
        """The nodes that callers can reach now."""
        joined = [m for m in self.joining if self.now > self.joined_at[m.name]]
        silent = self.gone_at.keys() if self.fault != "cut" else ()
        return [m for m in [*self.members, *joined] if m.name not in silent]


class Algorithm(t.Protocol):
    """An algorithm that shares the rate limit."""

    def take(self, name: str) -> bool:
        """Count a request and return true if a node may send it now."""
        ...

    def restart(self) -> None:
        """Discard the state of all nodes."""
        ...

    def fault_target(self) -> str:
        """Name of the node that a fault hits."""
        ...


class _LocalClient(PermitClient):
    """A client that calls the other nodes' coordinators without a network."""

    fleet: Fleet
    coordinator_by_name: dict[str, PermitCoordinator]

    async def _ask(
        self, member: Member, upstream: Upstream, asker: PermitRequester
    ) -> float | None:
        self.fleet.messages += 1
        if not self.fleet.reaches(asker.node, member.name):
            self._coordinators.suspect(member)
            return None
        coordinator = self.coordinator_by_name[member.name]
        wait, _ = coordinator.grant(upstream.id, upstream.limit, asker)
        return wait


@dataclasses.dataclass(slots=True, eq=False)
class _Node:
    client: _LocalClient
    coordinators: Coordinators
    upstream: Upstream


class Coordinated(Algorithm):
    """The gateway's algorithm: one coordinator for each upstream."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._node_by_name: dict[str, _Node] = {}
        self._coordinator_by_name: dict[str, PermitCoordinator] = {}
        for member in [*fleet.members, *fleet.joining]:
            self._start(member, uptime=60.0)

    def _start(self, member: Member, *, uptime: float) -> None:
        fleet = self._fleet
        upstreams = Upstreams()
        upstreams.put(UpstreamRecord(UPSTREAM, "s", "10.0.0.9:1", "a", slots=1))
        upstream = upstreams.by_id[UPSTREAM]
        upstream.note_limit(RateLimit(fleet.rate, fleet.now, fleet.now))
        now = fleet.now
        fleet.now -= uptime

        def clock() -> float:
            return fleet.now

        def members() -> list[Member]:
            return fleet.view_of(member.name)

        coordinators = Coordinators(member, members, clock=clock)
        fleet.now = now
        limits = LimitReceiver(member, coordinators, NoticeHandler(), upstreams)
        coordinator = PermitCoordinator(
            member,
            coordinators,
            limits,
            view_age=lambda: 0.0,
            clock=clock,
            rng=fleet.rng,
        )
        client = _LocalClient(
            t.cast(t.Any, None),
            member,
            coordinators,
            coordinator,
            GatewayMetrics(),
            clock=clock,
        )
        client.fleet = fleet
        client.coordinator_by_name = self._coordinator_by_name
        self._coordinator_by_name[member.name] = coordinator
        self._node_by_name[member.name] = _Node(client, coordinators, upstream)

    def take(self, name: str) -> bool:
        """Send if this way allows it."""
        node = self._node_by_name[name]
        now = self._fleet.now
        if not node.upstream.is_available(now):
            return False
        wait = _finish(node.client.take(node.upstream, rank=0))
        if wait:
            node.upstream.note_no_permit(now + wait)
        return wait == 0.0

    def restart(self) -> None:
        """Forget all."""
        for member in self._fleet.members:
            self._start(member, uptime=0.0)

    def fault_target(self) -> str:
        """Whom the fault hits."""
        node = next(iter(self._node_by_name.values()))
        return node.coordinators.candidates(UPSTREAM)[0].name


class Lending(Algorithm):
    """An equal part for each node; nodes lend each other the unused rest."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.restart()

    def restart(self) -> None:
        """Forget all."""
        self._left: dict[str, float] = {}
        self._at: dict[str, float] = {}

    def take(self, name: str) -> bool:
        """Send if this way allows it."""
        fleet = self._fleet
        others = [m.name for m in fleet.view_of(name) if m.name != name]
        missing = 1.0 - self._take_from(name, 1.0)
        for other in fleet.rng.sample(others, min(MAX_LENDERS_ASKED, len(others))):
            if missing <= 1e-9:
                break
            fleet.messages += 1
            if fleet.reaches(name, other):
                missing -= self._take_from(other, missing)
        if missing > 1e-9:
            self._left[name] += 1.0 - missing
            return False
        return True

    def _take_from(self, name: str, wanted: float) -> float:
        fleet = self._fleet
        count = len(fleet.view_of(name))
        rate = fleet.rate / count
        burst = max(1.0, 3.0 / count) if count < 2 * fleet.rate + SLACK else 3.0 / count
        gained = (fleet.now - self._at.get(name, fleet.now)) * rate
        left = min(burst, self._left.get(name, burst) + gained)
        taken = min(wanted, left)
        self._left[name] = left - taken
        self._at[name] = fleet.now
        return taken

    def fault_target(self) -> str:
        """Whom the fault hits."""
        return self._fleet.members[0].name


class RandomAssignment(Algorithm):
    """Whole requests per window, assigned to random nodes."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.restart()

    def restart(self) -> None:
        """Forget all."""
        self._log_by_name: dict[str, SendLog] = {}

    def take(self, name: str) -> bool:
        """Send if this way allows it."""
        fleet = self._fleet
        names = {m.name for m in fleet.view_of(name)}
        quota = node_quota(name, names, UPSTREAM, rate=fleet.rate)
        log = self._log_by_name.setdefault(name, SendLog())
        if not log.allows(UPSTREAM, quota, fleet.now):
            return False
        log.note(UPSTREAM, fleet.now)
        return True

    def fault_target(self) -> str:
        """Whom the fault hits."""
        return self._fleet.members[0].name


ALGORITHMS: dict[str, t.Callable[[Fleet], Algorithm]] = {
    "kept": Coordinated,
    "lent": Lending,
    "drawn": RandomAssignment,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Results:
    """Results of one simulation.

    :param used: fraction of the rate limit.
    :param peak: most requests in a window, as a fraction of those allowed.
    :param messages: messages per request sent.
    :param microseconds: processor time per attempt to send.
    """

    used: float
    peak: float
    messages: float
    microseconds: float


def simulate(
    algorithm_name: str, count: int, rate: float, fault: str, *, uneven: bool, seed: int
) -> Results:
    """Simulate ``SIMULATED_SECONDS`` of arrivals.

    :param algorithm_name: key in ``ALGORITHMS``.
    :param count: number of nodes.
    :param rate: rate limit in requests/s.
    :param fault: one of ``FAULTS``, which hits at ``FAULT_AT_SECONDS``.
    :param uneven: callers prefer some nodes to others.
    """
    fleet = Fleet(count, rate, fault, seed)
    algorithm = ALGORITHMS[algorithm_name](fleet)
    began, fault_injected, restarted = fleet.now, False, False
    tries, spent = 0, 0.0
    while fleet.now < began + SIMULATED_SECONDS:
        fleet.now += fleet.rng.expovariate(DEMAND * rate)
        elapsed = fleet.now - began
        if elapsed > FAULT_AT_SECONDS and not fault_injected:
            fault_injected = True
            _inject_fault(fleet, algorithm)
        if (
            elapsed > FAULT_AT_SECONDS + RESTART_SECONDS
            and fault_injected
            and not restarted
        ):
            restarted = True
            if fault == "all killed":
                fleet.gone_at.clear()
                algorithm.restart()
        nodes = fleet.alive()
        if not nodes:
            continue
        weights = [1.0 / (1 + n) if uneven else 1.0 for n in range(len(nodes))]
        name = fleet.rng.choices(nodes, weights)[0].name
        tries += 1
        started = time.perf_counter()
        taken = algorithm.take(name)
        spent += time.perf_counter() - started
        if taken:
            fleet.sent.append(fleet.now)
    counted = [at for at in fleet.sent if at > began + WARMUP_SECONDS]
    allowed = OVERSHOOT * rate * PERMIT_WINDOW_SECONDS + SLACK
    return Results(
        used=len(counted) / (rate * (SIMULATED_SECONDS - WARMUP_SECONDS)),
        peak=_max_in_window(fleet.sent) / allowed,
        messages=fleet.messages / max(1, len(fleet.sent)),
        microseconds=1e6 * spent / max(1, tries),
    )


def _inject_fault(fleet: Fleet, algorithm: Algorithm) -> None:
    match fleet.fault:
        case "cut" | "killed":
            fleet.gone_at[algorithm.fault_target()] = fleet.now
        case "all killed":
            fleet.gone_at.update({m.name: fleet.now for m in fleet.members})


def _max_in_window(sent: list[float]) -> int:
    highest = first = 0
    for last, at in enumerate(sent):
        while sent[first] <= at - PERMIT_WINDOW_SECONDS:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


def _finish(coroutine: t.Coroutine[t.Any, t.Any, float]) -> float:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return t.cast(float, done.value)
    raise AssertionError("the coroutine suspended")


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[8, 62, 195, 390])
    parser.add_argument(
        "--rates", type=float, nargs="*", default=[0.5, 1.8, 10.0, 40.0]
    )
    parser.add_argument("--faults", nargs="*", default=list(FAULTS))
    parser.add_argument("--ways", nargs="*", default=list(ALGORITHMS))
    options = parser.parse_args()
    print("| way | nodes | rate | fault | arrivals | used | fullest | asked | us |")
    print("|---|---|---|---|---|---|---|---|---|")
    for algorithm in options.ways:
        for count in options.nodes:
            for rate in options.rates:
                for fault in options.faults:
                    for uneven in (False, True):
                        found = simulate(
                            algorithm, count, rate, fault, uneven=uneven, seed=1
                        )
                        arrivals = "uneven" if uneven else "even"
                        print(
                            f"| {algorithm} | {count} | {rate} | {fault} | {arrivals} "
                            f"| {found.used:.2f} | {found.peak:.2f} | "
                            f"{found.messages:.2f} | {found.microseconds:.0f} |"
                        )


if __name__ == "__main__":
    asyncio.run(_main())
