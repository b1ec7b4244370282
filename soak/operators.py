"""Operators that confirm plans concurrently, and checks of the revisions in force."""

import asyncio
import contextlib
import itertools
import json
import random
import time
import typing as t

from tests.fakes import intent_text
from tests.fakes import OPERATORS

from bankrack.exceptions import BankrackError
from bankrack.operator.client import OperatorClient
from soak.fleet import ENGINES
from soak.fleet import Fleet
from soak.fleet import PLAIN_SERVERS
from soak.results import SoakResults

WATCH_INTERVAL_SECONDS = 0.4
IN_FORCE_TIMEOUT_SECONDS = 8.0
LEAVING_GRACE_SECONDS = 5.0


class ConfirmedPlan(t.NamedTuple):
    """A confirmed plan.

    :param at: wall clock time of the confirmation.
    :param leaving: name of the engine that the plan marks as leaving, or empty.
    """

    revision: int
    plan: str
    at: float
    leaving: str


class Attempt(t.NamedTuple):
    """An attempt to confirm a plan.

    :param started: wall clock time from which the plan may be in force.
    """

    started: float
    leaving: str


class ConcurrentOperators:
    """Confirms plans concurrently and checks their effects."""

    def __init__(self, fleet: Fleet, results: SoakResults, seed: int) -> None:
        self.fleet = fleet
        self.results = results
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.plans_by_revision: dict[int, str] = {}
        self.revisions_by_node: dict[str, int] = {}
        self.attempts: list[Attempt] = []

    async def begin(self) -> None:
        """Confirm the first intent; retry until it succeeds."""
        while await self._confirm("alice", "", "node-0") is None:
            await asyncio.sleep(0.5)

    async def race(self) -> None:
        """Confirm two plans at the same time, sometimes with a leaving engine."""
        leaving = self.rng.choice(["", "", "engine-0", "engine-1"])
        nodes = [self.rng.choice(sorted(self.fleet.operators)) for _ in range(2)]
        results = await asyncio.gather(
            self._confirm("alice", leaving, nodes[0]),
            self._confirm("bob", leaving, nodes[1]),
        )
        for confirmed in results:
            if confirmed is not None:
                await self._check_convergence(confirmed)

    async def _confirm(
        self, operator: str, leaving: str, node: str
    ) -> ConfirmedPlan | None:
        client = OperatorClient(self.fleet.operators[node], OPERATORS[operator])
        links = self.fleet.links_by_name
        engines = [links[f"engine-{n}"].listen for n in range(ENGINES)]
        plain = [links[f"plain-{n}"].listen for n in range(PLAIN_SERVERS)]
        text = intent_text(engines, plain)
        text = text.replace(
            'name = "south"', f'name = "south"\nshare = {next(self.numbers)}.0'
        )
        text = text.replace('models = ["m"]', 'models = ["m"]\nmemory_tokens = 12000')
        if leaving:
            text = text.replace(
                f'name = "{leaving}"', f'name = "{leaving}"\nleaving = true'
            )
        try:
            plan = await client.post("/v1/plan", text.encode())
            self.attempts.append(Attempt(time.time(), leaving))
            answer = await client.post("/v1/confirm", json.dumps(plan).encode())
        except (BankrackError, OSError):
            self.results.outcomes["confirm refused"] += 1
            return None
        self.results.outcomes["confirm done"] += 1
        confirmed = ConfirmedPlan(
            answer["revision"], answer["plan"], time.time(), leaving
        )
        known = self.plans_by_revision.setdefault(confirmed.revision, confirmed.plan)
        if known != confirmed.plan:
            self.results.record_violation(
                f"two plans were confirmed as revision {confirmed.revision}"
            )
        return confirmed

    async def _check_convergence(self, confirmed: ConfirmedPlan) -> None:
        """Check that all undisturbed nodes apply the revision in time."""
        start = time.monotonic()
        while time.monotonic() - start < IN_FORCE_TIMEOUT_SECONDS:
            outdated = [
                name
                for name in self.fleet.callers
                if self.revisions_by_node.get(name, 0) < confirmed.revision
                and not self.fleet.disturbed(name)
            ]
            if not outdated:
                self.results.convergence.append(time.monotonic() - start)
                break
            await asyncio.sleep(0.1)
        else:
            self.results.record_violation(
                f"{outdated} did not reach revision {confirmed.revision} within "
                f"{IN_FORCE_TIMEOUT_SECONDS} s"
            )
        if confirmed.leaving:
            await self._keep_leaving(confirmed)

    async def _keep_leaving(self, confirmed: ConfirmedPlan) -> None:
        """Keep an engine leaving and record the span in which it may get no work."""
        start = confirmed.at + LEAVING_GRACE_SECONDS
        await asyncio.sleep(LEAVING_GRACE_SECONDS + 4.0)
        end = time.time()
        others = [
            attempt.started
            for attempt in self.attempts
            if attempt.started > confirmed.at and attempt.leaving != confirmed.leaving
        ]
        self.results.leaving_spans.append(
            (confirmed.leaving, start, min([end, *others]))
        )
        await self._confirm("alice", "", self.rng.choice(sorted(self.fleet.callers)))

    async def watch(self) -> None:
        """Check until cancelled that the revision of no running node decreases."""
        pids_by_node: dict[str, int] = {}
        while True:
            for name, address in self.fleet.operators.items():
                process = self.fleet.processes_by_name[name]
                if pids_by_node.get(name) != process.pid:
                    pids_by_node[name] = process.pid
                    self.revisions_by_node[name] = 0
                with contextlib.suppress(BankrackError, OSError, TimeoutError):
                    async with asyncio.timeout(1.0):
                        await self._check_revision(name, address, process.pid)
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    async def _check_revision(self, name: str, address: str, pid: int) -> None:
        client = OperatorClient(address, OPERATORS["bob"])
        state = await client.get("/v1/state")
        if self.fleet.processes_by_name[name].pid != pid:
            return
        revision = state["configuration"]["revision"]
        if revision < self.revisions_by_node.get(name, 0):
            self.results.record_violation(f"{name} reverted to revision {revision}")
        self.revisions_by_node[name] = revision
