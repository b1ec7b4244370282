"""Gateway processes of a soak, controlled by signals."""

import asyncio
import contextlib
import pathlib
import resource
import signal
import time
import typing as t

import aiohttp
from benchmarks.processes import Process
from tests.fakes import free_address

from soak.gateway.cutoff import control_file
from soak.links import Link

GRACE_SECONDS = 8
READY_PATH = "/v1/readyz"
READY_TIMEOUT_SECONDS = 90.0
"""Longest start, with hundreds of gateways starting on one machine at once."""
READY_POLL_INTERVAL_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 1.0
KILLED_SECONDS = 1.0
"""Time for which a process that is killed may still have had a request."""
HELD_FIELDS = ("unread_bytes", "slow_callers", "body_bytes")
"""Fields of the state dump for what a gateway holds for callers."""
RELEASE_SECONDS = 3.0
"""Time in which a gateway notices that the last callers ended."""
RECOVERY_SECONDS = 3.0
"""Time after a start or a resume in which timing guarantees aren't checked."""

SETTINGS = """\
nodeName = "{name}"
role = "gateway"
ip = "127.0.0.1"
zone = "{hall}"
portRange = [1, {tunnel_port}]
seeds = []
[listen]
front = "{front}"
ready = "{ready}"
control = "{inner}"
[limits]
memoryMb = 128
[platform]
address = "{store}"
[bounds]
graceS = {grace}
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
"""


class Gateway:
    """One gateway, across restarts of its process.

    :param hall: the data hall in which it is configured to run.
    :param store: address of the store; the gateway reaches it through a link.
    :param bug: name of the bug to enable, see :mod:`soak.gateway.buggy`.
    :ivar descriptors: limit of the open files of processes that are launched.
    """

    def __init__(
        self, name: str, hall: str, store: str, folder: pathlib.Path, bug: str
    ) -> None:
        self.name = name
        self.hall = hall
        self.inner = free_address()
        self.inner_link = Link(free_address(), self.inner)
        self.front = free_address()
        self.ready = free_address()
        self.log = folder / f"{name}.log"
        self.store_link = Link(free_address(), store)
        self.undisturbed_from = 0.0
        self.disturbed_at: list[float] = []
        self.stop_requested_at = 0.0
        self.stopped_at: list[float] = []
        self.killed_at: list[float] = []
        self.busy = False
        self.descriptors: int | None = None
        self._bug = bug
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self.tunnel = free_address()
        text = SETTINGS.format(
            name=name,
            hall=hall,
            front=self.front,
            ready=self.ready,
            inner=self.inner,
            store=self.store_link.listen,
            grace=GRACE_SECONDS,
            tunnel_port=self.tunnel.rpartition(":")[2],
        )
        self._settings.write_text(text, encoding="utf-8")
        self._process: Process | None = None

    @property
    def process(self) -> Process:
        """The current process."""
        assert self._process is not None
        return self._process

    def end(self) -> None:
        """Kill the process if it was started."""
        if self._process is not None:
            self._process.stop()

    def launch(self) -> None:
        """Start the process; it counts as disturbed for ``RECOVERY_SECONDS``."""
        script = ["-m", "soak.gateway.buggy", self._bug, str(self._settings)]
        self._process = Process(self.name, script, log=str(self.log))
        if self.descriptors is not None:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)
        self.stop_requested_at = 0.0
        self.disturb(RECOVERY_SECONDS)

    def disturb(self, seconds: float) -> None:
        """Exempt it from guarantees with a time bound for the next ``seconds``."""
        self.disturbed_at.append(time.monotonic())
        self.undisturbed_from = max(self.undisturbed_from, time.monotonic() + seconds)

    def disturbed_between(self, since: float, until: float) -> bool:
        """Whether a fault hit it between two monotonic times."""
        return any(since <= at <= until for at in self.disturbed_at)

    def stop_before(self, until: float) -> float:
        """Monotonic time of the last SIGTERM before another one; 0 without any."""
        return max((at for at in self.stopped_at if at <= until), default=0.0)

    def was_killed_between(self, since: float, until: float) -> bool:
        """Whether its process was killed at work on a request of that time."""
        return any(since <= at <= until + KILLED_SECONDS for at in self.killed_at)

    def cut_off(self, how: str) -> None:
        """Have its new connections to upstreams fail.

        :param how: ``refused``, ``silent``, or empty to end it.
        """
        control_file(str(self._settings)).write_text(how, encoding="utf-8")

    async def kill(self, down: float) -> None:
        """Kill the process and start a new one after ``down`` seconds."""
        self.killed_at.append(time.monotonic())
        self.process.stop()
        self.disturb(down + RECOVERY_SECONDS)
        await asyncio.sleep(down)
        self.launch()

    async def freeze(self, seconds: float) -> None:
        """Suspend the process for some seconds."""
        self.disturb(seconds + RECOVERY_SECONDS)
        self.process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.signal(signal.SIGCONT)
        self.disturb(RECOVERY_SECONDS)

    async def stop(self) -> bool:
        """Send SIGTERM, then start a new process.

        :return: whether the old one ended within the grace period.
        """
        self.stop_requested_at = time.monotonic()
        self.stopped_at.append(self.stop_requested_at)
        self.process.signal(signal.SIGTERM)
        limit = self.stop_requested_at + GRACE_SECONDS
        while self.process.alive and time.monotonic() < limit:
            await asyncio.sleep(0.05)
        in_time = not self.process.alive
        if not in_time:
            self.killed_at.append(time.monotonic())
        self.process.stop()
        self.launch()
        return in_time

    async def is_ready(self, session: aiohttp.ClientSession | None = None) -> bool:
        """Check the readiness as load balancers do.

        :param session: by default a new one, for a new connection.
        """
        if session is None:
            async with aiohttp.ClientSession() as new:
                return await self.is_ready(new)
        url = f"http://{self.ready}{READY_PATH}"
        limit = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_SECONDS)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url, timeout=limit) as found:
                return found.status == 200
        return False

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        limit = time.monotonic() + READY_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < limit:
                if await self.is_ready(session):
                    return
                await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
        raise TimeoutError(
            f"{self.name} was not ready within {READY_TIMEOUT_SECONDS} s"
        )

    async def held(self) -> dict[str, t.Any]:
        """Return what it holds for callers, from its state dump.

        Waits for a while until that is nothing.
        """
        limit = time.monotonic() + RELEASE_SECONDS
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(f"http://{self.inner}/state") as response:
                    state = await response.json(content_type=None)
                held = {name: state[name] for name in HELD_FIELDS}
                if not any(held.values()) or time.monotonic() > limit:
                    return held
                await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)

    def reload(self, *, send_signal: bool) -> None:
        """Rewrite the settings file.

        :param send_signal: also send SIGHUP, so that the gateway reloads it at once.
        """
        text = self._settings.read_text(encoding="utf-8")
        self._settings.write_text(text, encoding="utf-8")
        if send_signal:
            self.process.signal(signal.SIGHUP)
