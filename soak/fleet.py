"""The processes of a soak and the faults injected into them."""

import asyncio
import pathlib
import random
import signal
import time
import typing as t

import aiohttp
from benchmarks.processes import Process
from tests.fakes import free_address
from tests.fakes import listen_addresses
from tests.fakes import settings_text

from soak.links import Link
from soak.results import SoakResults

ENGINES = 3
NODES = 4
PLAIN_SERVERS = 2


class Fleet:
    """Platform, engines, plain servers and nodes, each in a process of its own."""

    def __init__(
        self, folder: pathlib.Path, results: SoakResults, seed: int, bug: str
    ) -> None:
        self.folder = folder
        self.results = results
        self.rng = random.Random(seed)
        self.bug = bug
        self.processes_by_name: dict[str, Process] = {}
        self.commands_by_name: dict[str, list[str]] = {}
        self.links_by_name: dict[str, Link] = {}
        self.journals: dict[str, pathlib.Path] = {}
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.platform = free_address()
        self.disturbed_until: dict[str, float] = {}
        self.killed_at: dict[str, list[float]] = {}
        self.draining: set[str] = set()
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start all processes and give them time to listen."""
        self.session = aiohttp.ClientSession()
        bankrack = ["-m", "bankrack"]
        self._add_process(
            "platform", [*bankrack, "standin-platform", "--listen", self.platform]
        )
        for number in range(ENGINES):
            await self._start_upstream(
                f"engine-{number}", "standin-engine", "--model", "m"
            )
        for number in range(PLAIN_SERVERS):
            await self._start_upstream(f"plain-{number}", "standin-plain")
        await asyncio.sleep(1.5)
        self._start_nodes()
        await asyncio.sleep(3.0)

    async def _start_upstream(self, name: str, command: str, *options: str) -> None:
        address = free_address()
        journal = self.folder / f"{name}.journal"
        self.journals[name] = journal
        arguments = ["-m", "bankrack", command, "--listen", address, *options]
        arguments += ["--journal", str(journal)]
        if command == "standin-engine":
            arguments += ["--speed", "2", "--memory", "12000"]
        self._add_process(name, arguments)
        link = Link(free_address(), address)
        await link.start()
        self.links_by_name[name] = link

    def _start_nodes(self) -> None:
        seeds: list[str] = []
        for number in range(NODES):
            name = f"node-{number}"
            text = settings_text(name, self.platform, seeds=seeds)
            text = text.replace("drain_notice = 0.5", "drain_notice = 3.0")
            addresses = listen_addresses(text)
            seeds.append(addresses["peers"])
            self.callers[name] = addresses["callers"]
            self.operators[name] = addresses["operators"]
            path = self.folder / f"{name}.toml"
            path.write_text(text, encoding="utf-8")
            module = ["-m", "soak.buggy_node", self.bug] if self.bug else []
            command = [*(module or ["-m", "bankrack"]), "node", "--settings", str(path)]
            self._add_process(name, command)

    def _add_process(self, name: str, arguments: list[str]) -> None:
        self.commands_by_name[name] = arguments
        self.launch(name)

    def launch(self, name: str) -> None:
        """Start a process; its log is appended to that of its predecessor."""
        log = str(self.folder / f"{name}.log")
        self.processes_by_name[name] = Process(
            name, self.commands_by_name[name], log=log
        )

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes_by_name.values():
            process.signal(signal.SIGCONT)
            process.stop()

    def disturbed(self, name: str) -> bool:
        """Whether a process is affected by a fault or recovers from one."""
        return time.monotonic() < self.disturbed_until.get(name, 0.0)

    def _disturb(self, name: str, seconds: float) -> None:
        until = time.monotonic() + seconds
        self.disturbed_until[name] = max(until, self.disturbed_until.get(name, 0.0))

    # Faults; each method repairs its fault before it returns.

    async def kill(self, name: str) -> None:
        """Kill a process and replace it after a random pause."""
        if name in self.draining:
            return
        self.killed_at.setdefault(name, []).append(time.monotonic())
        pause = self.rng.uniform(0.2, 2.5)
        self._disturb(name, pause + 6.0)
        self.processes_by_name[name].stop()
        await asyncio.sleep(pause)
        self.launch(name)

    async def freeze(self, name: str) -> None:
        """Suspend a process for some seconds."""
        if name in self.draining:
            return
        seconds = self.rng.uniform(0.5, 8.0)
        self._disturb(name, seconds + 6.0)
        self.killed_at.setdefault(name, []).append(time.monotonic() + seconds)
        process = self.processes_by_name[name]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)

    async def cut(self, name: str) -> None:
        """Reset all connections to an upstream."""
        self.links_by_name[name].cut()

    async def stall(self, name: str) -> None:
        """Hold back all data to and from an upstream for some seconds."""
        link = self.links_by_name[name]
        link.stall()
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        link.repair()

    async def platform_fault(self, kind: str) -> None:
        """Disturb the platform for some seconds.

        :param kind: ``down``, ``slow``, or ``lossy`` for lost responses.
        """
        seconds = self.rng.uniform(1.0, 10.0)
        for name in self.callers:
            self._disturb(name, seconds + 6.0)
        faults: dict[str, t.Any] = {
            "down": {"down": True},
            "slow": {"slow_seconds": 0.7},
            "lossy": {"lose_answers": 0.4},
        }[kind]
        await self._set_platform_faults(faults)
        await asyncio.sleep(seconds)
        await self._set_platform_faults({})

    async def drain(self, name: str) -> None:
        """Drain and replace a node; its drain may break no connection."""
        if name in self.draining or self.disturbed(name):
            return
        self.draining.add(name)
        self._disturb(name, 60.0)
        process = self.processes_by_name[name]
        process.signal(signal.SIGTERM)
        for _ in range(600):
            if not process.alive:
                break
            await asyncio.sleep(0.1)
        else:
            self.results.record_violation(
                f"{name} did not finish its drain within 60 s"
            )
            process.stop()
        # Callers may still be reading its last responses.
        await asyncio.sleep(0.5)
        self.draining.discard(name)
        self.launch(name)
        self.disturbed_until[name] = time.monotonic() + 6.0

    async def _set_platform_faults(self, faults: dict[str, t.Any]) -> None:
        assert self.session is not None
        url = f"http://{self.platform}/faults"
        async with self.session.post(url, json=faults) as response:
            await response.read()
