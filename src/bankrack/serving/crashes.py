"""Whether an upstream ended when a run there broke off."""

import asyncio
import enum
import logging
import time

from bankrack import logs
from bankrack.exceptions import BankrackError
from bankrack.exceptions import UpstreamBroke
from bankrack.serving.assignment import Assignment
from bankrack.serving.upstreams import Upstream

CHECK_SECONDS = 0.3
"""A live listener answers within some ms; one behind a cut link doesn't at all."""

_logger = logging.getLogger(__name__)


class Listener(enum.Enum):
    """What became of an upstream's listener, by a connection to it.

    A process that ended has its port refuse connections, while after a reset or a
    spoilt answer it still listens, and behind a cut link nothing answers.
    """

    REFUSES = "refuses"
    LISTENS = "listens"
    SILENT = "silent"


async def check_listener(address: str) -> Listener:
    """Connect to ``ip:port`` once."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Listener.REFUSES
    except (OSError, TimeoutError):
        return Listener.SILENT
    writer.close()
    return Listener.LISTENS


class CrashWatch:
    """Looks after upstreams whose runs broke off."""

    def __init__(self) -> None:
        self._checks: set[asyncio.Task[None]] = set()

    def note_break(
        self,
        work: Assignment,
        upstream: Upstream,
        error: BankrackError,
        *,
        ran: float | None,
    ) -> None:
        """Note that a request failed at an upstream, which may have ended.

        :param ran: seconds since its run began; ``None`` when it had not.
        """
        if not isinstance(error, UpstreamBroke):
            return
        check = asyncio.create_task(self._check(work, upstream, ran))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self, work: Assignment, upstream: Upstream, ran: float | None
    ) -> None:
        leaving = upstream.leaving
        began = time.monotonic()
        listener = await check_listener(upstream.address)
        logs.event(
            _logger,
            "upstream_checked",
            request=work.job.id,
            fingerprint=work.fingerprint,
            upstream=upstream.id,
            leaving=leaving,
            listener=listener.value,
            ran=ran,
            took=time.monotonic() - began,
        )
