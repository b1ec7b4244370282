"""Reports of requests that got no answer, which other nodes act on."""

import asyncio
import logging

from bankrack import logs
from bankrack.serving.outliers import OutlierMonitor
from bankrack.serving.paths import Listener
from bankrack.serving.paths import UpstreamPaths
from bankrack.serving.upstreams import Upstream

_logger = logging.getLogger(__name__)


class FailureReporter:
    """Reports failures to the outlier detection, which shares them with all nodes.

    One that this node's own path explains does not speak against the upstream.
    """

    def __init__(self, outliers: OutlierMonitor, paths: UpstreamPaths) -> None:
        self._outliers = outliers
        self._paths = paths
        self._checks: set[asyncio.Task[None]] = set()

    def note_unanswered(self, upstream: Upstream, *, request: str) -> None:
        """Report a request that may have run and got no answer.

        :param request: its fingerprint.
        """
        check = asyncio.create_task(self._report(upstream, request))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _report(self, upstream: Upstream, request: str) -> None:
        if await self._paths.check(upstream.address) is Listener.CUT_OFF:
            logs.event(
                _logger,
                "failure_not_reported",
                upstream=upstream.id,
                address=upstream.address,
                fingerprint=request,
                reason="other nodes reach it",
            )
            return
        self._outliers.note_failed(upstream, request=request)
