"""Runs that wait or are refused beside free room, by the way in which pools are chosen.

``python -m benchmarks.pooloverflow`` replays a burst against the allocators of all
pools of a service, without a network.
"""

import collections
import dataclasses
import heapq
import random
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.poolcount import count_pools
from bankrack.fleet.poolrooms import PoolRooms
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.serving.assignment import Assignment
from bankrack.serving.job import Demand
from bankrack.serving.job import Job
from bankrack.serving.job import RequestKind
from bankrack.serving.pools import candidate_pools
from bankrack.serving.pools import pool_of
from bankrack.serving.pools import pool_of_engine
from bankrack.serving.routing import Route
from bankrack.serving.routing import Service
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord

MEMORY = 26_890
DEMAND = Demand(prompt=3_000, output_limit=750)
RUN_SECONDS = 7.0
RUNS_PER_ENGINE = 7
"""Runs that an engine holds: their memory, at the end of each."""
ROUTE = Route("r", "h", "/", (), RequestKind.STREAM, 30.0, 4.0)
SERVICE = Service("s")
SECONDS = 12.0
DIGEST, ROOM, VERDICT = WAYS = ("digest", "room", "verdict")


@dataclasses.dataclass(slots=True)
class Result:
    """What became of the runs that arrived.

    :ivar beside_room: runs that had to wait or were refused at their first question
        while another pool had room and no queue.
    :ivar wait_seconds: of the admitted runs together.
    :ivar questions: to owners.
    """

    runs: int = 0
    waited: int = 0
    refused: int = 0
    beside_room: int = 0
    wait_seconds: float = 0.0
    questions: int = 0


class Replay:
    """The pools of one service, and runs of many nodes that arrive at them.

    :param way: ``digest`` asks the owner of the run's own pool only, ``verdict`` that
        of its second pool as well, ``room`` that of the one of both which had more room
        when this was last told.
    :param stale: seconds between two times at which nodes are told of all pools' room.
    """

    def __init__(
        self, engines: int, way: str, *, seed: int, nodes: int = 88, stale: float = 1.0
    ) -> None:
        self.now = 1_000.0
        self.result = Result()
        self.way = way
        self._stale = stale
        self._rng = random.Random(seed)
        self.pools = count_pools(engines)
        self.engines_by_pool: dict[int, list[Upstream]] = collections.defaultdict(list)
        for number in range(engines):
            record = UpstreamRecord(f"e-{seed}-{number}", "s", "", "a", slots=24)
            pool = pool_of_engine(record.id, self.pools)
            self.engines_by_pool[pool].append(Upstream(record, self.now))
        self._allocators = [
            Allocator(clock=lambda: self.now, rng=self._rng, read_ahead=60.0)
            for _ in range(self.pools)
        ]
        self._nodes = [
            PoolRooms(self._leave, clock=lambda: self.now) for _ in range(nodes)
        ]
        self._told_at = 0.0
        self._told_rooms: list[float] = []
        self._pool_by_run: dict[str, int] = {}

    def remove(self, pool: int, fraction: float) -> None:
        """Take away this part of a pool's engines."""
        engines = self.engines_by_pool[pool]
        del engines[: int(fraction * len(engines))]

    def play(
        self, load: float, *, seconds: float = SECONDS, burst: float = 1.0
    ) -> Result:
        """Let runs arrive, and wait or run, until all are done.

        :param load: part of all engines' memory that the runs need in the long run.
        :param burst: multiple of the load in the last third of the time.
        """
        engines = sum(map(len, self.engines_by_pool.values()))
        rate = load * engines * RUNS_PER_ENGINE / RUN_SECONDS
        events: list[tuple[float, str, bool]] = []
        at, until = self.now, self.now + seconds
        while at < until:
            events.append((at, f"r-{len(events)}", False))
            at += self._rng.expovariate(
                rate * (burst if at > until - seconds / 3 else 1)
            )
        self.result.runs = len(events)
        arrived_by_run = {run: at for at, run, _ in events}
        while events:
            self.now, run, ends = heapq.heappop(events)
            if ends:
                self._end(run)
                continue
            arrived = arrived_by_run[run]
            verdict = self._ask(run, arrived)
            if self.now == arrived and not isinstance(verdict, Admit):
                self.result.beside_room += self._has_room()
                self.result.waited += isinstance(verdict, Wait)
            match verdict:
                case Admit():
                    self.result.wait_seconds += self.now - arrived
                    end = self.now + RUN_SECONDS * self._rng.uniform(0.5, 1.5)
                    heapq.heappush(events, (end, run, True))
                case Wait(seconds=pause):
                    heapq.heappush(events, (self.now + pause, run, False))
                case _:
                    self.result.refused += 1
        return self.result

    def _ask(self, run: str, arrived: float) -> Verdict | None:
        """Ask for a run as its node does."""
        work = _assignment(run)

        async def ask(pool: int, queue: bool) -> Verdict:
            self.result.questions += 1
            waited = self.now - arrived
            request = PlacementRequest(
                run, DEMAND, MEMORY, "a", (0, 0), 4 - waited, 39 - waited, 16 - waited
            )
            allocator = self._allocators[pool]
            verdict = allocator.decide(self.engines_by_pool[pool], request)
            match verdict:
                case Admit(engines):
                    allocator.ledger.begin(run, engines[0])
                case Wait() if not queue:
                    allocator.queue.remove(run)
            return verdict

        if self.way == VERDICT:
            return _result(self._node(run).decide(work, self.pools, ask))
        return _result(ask(self._pool(run), True))

    def _node(self, run: str) -> PoolRooms:
        return self._nodes[pool_of(run, len(self._nodes))]

    def _pool(self, run: str) -> int:
        """The pool that a run asks if it asks no other one."""
        if self.way == DIGEST:
            return pool_of(run, self.pools)
        if self.now >= self._told_at + self._stale:
            self._told_at = self.now
            self._told_rooms = [self._room(pool) for pool in range(self.pools)]
        pools = candidate_pools(run, self.pools)
        roomier = max(pools, key=lambda pool: self._told_rooms[pool])
        return self._pool_by_run.setdefault(run, roomier)

    def _end(self, run: str) -> None:
        work = _assignment(run)
        if self.way == VERDICT:
            self._leave(work, self._node(run).pool(work, self.pools))
            self._node(run).forget(work)
        else:
            self._leave(work, self._pool(run))

    def _leave(self, work: Assignment, pool: int) -> None:
        self._allocators[pool].ledger.end(work.job.id)
        self._allocators[pool].queue.remove(work.job.id)

    def _free(self, pool: int) -> list[float]:
        """Free memory of a pool's engines."""
        occupancy = self._allocators[pool].ledger.occupancy
        engines = self.engines_by_pool[pool]
        return [*occupancy.free_by_engine(engines, memory=MEMORY, long=True).values()]

    def _room(self, pool: int) -> float:
        return sum(max(0.0, free) for free in self._free(pool))

    def _has_room(self) -> bool:
        """Whether an engine of any pool has room that no queued run waits for."""
        return any(
            not len(self._allocators[pool].queue)
            and max(self._free(pool), default=0.0) > DEMAND.expected
            for pool in self._rng.sample(range(self.pools), self.pools)
        )


def _result(coroutine: t.Coroutine[t.Any, t.Any, Verdict | None]) -> Verdict | None:
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as result:
        return t.cast(Verdict | None, result.value)
    raise AssertionError("the coroutine waits")


def _assignment(run: str) -> Assignment:
    job = Job(run, "POST", "h", "/", [], b"", None, 0.0, None, DEMAND)
    return Assignment(job, ROUTE, SERVICE, None, 0, 0.0)


def main() -> None:
    """Replay bursts for some sizes of fleets and print a table."""
    print("| engines | pools | way | runs | waited | refused | beside room |", end="")
    print(" mean wait ms | questions a run |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for engines, seeds in ((71, 5), (200, 3), (6_100, 1)):
        for way in WAYS:
            results = []
            for seed in range(1, seeds + 1):
                replay = Replay(engines, way, seed=seed)
                results.append(replay.play(0.85, seconds=SECONDS, burst=1.2))
            runs, waited, refused, beside, wait, questions = map(
                sum, zip(*map(dataclasses.astuple, results), strict=True)
            )
            print(
                f"| {engines} | {replay.pools} | {way} | {runs} | {waited} | {refused} "
                f"| {beside} | {1000 * wait / max(1, runs - refused):.0f} "
                f"| {questions / runs:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
