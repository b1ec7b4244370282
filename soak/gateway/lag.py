"""Measures event loop lag of the soak's own process, and finds that of the gateways.

The process runs the fake store, the fake upstreams, the links and the callers; while
its event loop is blocked, nothing that the gateways send is answered.
"""

import asyncio
import datetime
import re
import time
import typing as t

from soak.gateway.processes import Gateway

TICK_INTERVAL_SECONDS = 0.05
MIN_DELAY_SECONDS = 0.3
"""Smallest delay of a tick that counts as a blocked event loop.

Gateways stop waiting for a pool owner after 0.04 s and for a request after 2 s.
"""

BLOCKED_PATTERN = re.compile(
    r"time=(\S+ \S+) .*?event=loop_was_blocked seconds=([0-9.e-]+) own_cpu=([0-9.e-]+)"
)

Span = tuple[float, float]
"""Monotonic times of the start and the end of a period."""


class LagMonitor:
    """Monitors the event loop that it runs on.

    :param delays: one pair for each delay: monotonic time of its end, and its seconds.
    :param spans: all delays, however short.
    """

    def __init__(self) -> None:
        self.spans: list[Span] = []
        self.delays: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Record delays until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = time.monotonic()
            late = now - began - TICK_INTERVAL_SECONDS
            self.spans.append((now - late, now))
            if late > MIN_DELAY_SECONDS:
                self.delays.append((now, late))

    def __str__(self) -> str:
        longest = max((seconds for _, seconds in self.delays), default=0.0)
        return f"held up itself {len(self.delays)} times, {longest:.2f} s at most"


def covered_seconds(spans: t.Iterable[Span], since: float, until: float) -> float:
    """Seconds of a period that lie in spans, each moment counted once."""
    covered = 0.0
    for began, ended in sorted(spans):
        began = max(began, since)
        ended = min(ended, until)
        if began < ended:
            covered += ended - began
            since = ended
    return covered


def blocked_spans(gateway: Gateway) -> list[Span]:
    """Return the spans in which a gateway's event loop was blocked, from its log."""
    offset = time.time() - time.monotonic()
    return [
        (ended - offset - float(seconds), ended - offset)
        for at, seconds, _ in _blocked(gateway)
        for ended in [datetime.datetime.fromisoformat(at).timestamp()]
    ]


def _blocked(gateway: Gateway) -> list[tuple[str, str, str]]:
    text = gateway.log.read_text(encoding="utf-8", errors="replace")
    return BLOCKED_PATTERN.findall(text)


def describe_blocked_loops(gateways: t.Iterable[Gateway]) -> str:
    """Tell how often and how long event loops of gateways were blocked."""
    blocked = [
        (float(seconds), float(own_cpu))
        for gateway in gateways
        for _, seconds, own_cpu in _blocked(gateway)
    ]
    if not blocked:
        return "gateways were not held up"
    longest, own_cpu = max(blocked)
    return (
        f"gateways were held up {len(blocked)} times, {longest:.2f} s at most, "
        f"{own_cpu:.2f} s of it with their own work"
    )
