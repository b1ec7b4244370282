"""Supervised background tasks, and logs of VM suspensions and blocked event loops."""

import asyncio
import logging
import time
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.clock import SuspensionMeter

RESTART_DELAY_SECONDS = 0.2
"""Delay before a failed task is restarted, so that it does not loop tightly."""

MIN_SUSPENSION_SECONDS = 0.1
"""Minimum length of a logged suspension, as the two clocks are not read at once."""

LOOP_CHECK_INTERVAL_SECONDS = 0.1
MIN_BLOCKED_SECONDS = 0.2
"""Minimum delay of the event loop that is logged; a node's queries to others time out
after 0.04 s and more."""

TaskFunction = t.Callable[[], t.Coroutine[t.Any, t.Any, None]]

_logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Supervises the background tasks of a process and restarts those that fail.

    :param on_failure: called on each failure, to count it.
    """

    def __init__(self, on_failure: t.Callable[[], None] = lambda: None) -> None:
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: TaskFunction) -> None:
        """Start a task that runs ``work``."""
        self._tasks.append(asyncio.create_task(self._supervise(work)))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _supervise(self, work: TaskFunction) -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:
                self._on_failure()
                name = work.__qualname__
                logs.event(
                    _logger,
                    "background_failed",
                    level=logging.ERROR,
                    task=name,
                    reason=repr(error),
                )
                _logger.exception("background task failed: %s", name)
            await asyncio.sleep(RESTART_DELAY_SECONDS)


class SuspensionLog:
    """Logs suspensions of this VM."""

    def __init__(self) -> None:
        self._meter = SuspensionMeter()

    def log(self, *, view_age: float) -> None:
        """Log an event if the VM was suspended since the last call.

        :param view_age: seconds since this node's view was confirmed.
        """
        seconds = self._meter.seconds_since_last_call()
        if seconds >= MIN_SUSPENSION_SECONDS:
            logs.event(_logger, "vm_was_suspended", seconds=seconds, view_age=view_age)


class LoopMonitor:
    """Logs when the event loop was blocked, as timeouts then expire without a cause
    elsewhere.

    :param in_flight: returns the number of requests in flight.
    :param observe: called with the length of each delay in seconds.
    """

    def __init__(
        self, in_flight: t.Callable[[], int], observe: t.Callable[[float], None]
    ) -> None:
        self._in_flight = in_flight
        self._observe = observe

    async def run(self) -> None:
        """Measure the delay of timers until cancelled."""
        while True:
            began = boottime()
            used = time.process_time()
            await asyncio.sleep(LOOP_CHECK_INTERVAL_SECONDS)
            delay = boottime() - began - LOOP_CHECK_INTERVAL_SECONDS
            if delay >= MIN_BLOCKED_SECONDS:
                self._observe(delay)
                logs.event(
                    _logger,
                    "loop_was_blocked",
                    seconds=delay,
                    own_cpu=time.process_time() - used,
                    in_flight=self._in_flight(),
                )
