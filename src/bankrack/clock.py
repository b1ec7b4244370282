"""Clock for ages, leases and deadlines, and an event loop that uses it."""

import asyncio
import time

MAX_READING_SECONDS = 1e-4
"""Longest time between two readings of one clock that count as simultaneous."""
MAX_READINGS = 5


def boottime() -> float:
    """Return seconds of the boot-time clock, which includes VM suspensions.

    The monotonic clock stops while the VM is suspended, so leases, readings and
    callers' deadlines would appear younger than they are after a resume.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SuspensionMeter:
    """Measures suspensions as the lag of the monotonic behind the boot-time clock."""

    __slots__ = ("_total",)

    def __init__(self) -> None:
        self._total = _suspended_seconds()

    def seconds_since_last_call(self) -> float:
        """Return the seconds of suspension since the last call."""
        before, self._total = self._total, _suspended_seconds()
        return self._total - before


def _suspended_seconds() -> float:
    """Return the lag of the monotonic clock.

    The boot-time clock is read between two readings of the monotonic one.  These are
    repeated if they are far apart, as the process was held up between them.
    """
    for _ in range(MAX_READINGS):
        before = time.monotonic()
        boot = boottime()
        after = time.monotonic()
        if after - before <= MAX_READING_SECONDS:
            break
    return boot - (before + after) / 2


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers also advance while the VM is suspended.

    The selector still waits on the monotonic clock, so a timer that expired during a
    suspension fires at the next wakeup.  Nodes have timers that wake the loop several
    times a second.
    """

    def time(self) -> float:
        """Return the time that timers and timeouts are based on."""
        return boottime()
