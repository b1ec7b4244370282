"""Gateway with one known bug enabled, to verify that the soak detects it.

``python -m soak.gateway.buggy BUG SETTINGS``; the bug ``none`` changes nothing, and
several are named with commas.
"""

import asyncio
import os
import pathlib
import socket
import sys
import typing as t

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "platform"))

import engines
import headernames
import serve
from bankrack.decisions.outliers import Healthy
from bankrack.decisions.silentengines import Unanswered
from bankrack.exceptions import Outcome
from bankrack.exceptions import UpstreamFailed
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.view import View
from bankrack.front.callerserver import CallerServer
from bankrack.gateway import Gateway
from bankrack.placement.allocation import Allocator
from bankrack.serving import notices
from bankrack.serving import outliers
from bankrack.serving.choice import Chooser
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.dispatch import Dispatcher
from bankrack.serving.engineinquiry import Answers
from bankrack.serving.engineinquiry import EngineInquiry
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.events import EventOrder
from bankrack.serving.job import Job
from bankrack.serving.job import RequestKind
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.plain import PlainRelay
from bankrack.serving.responseends import ResponseEnds
from bankrack.serving.run import Run
from bankrack.serving.silentengine import SilentEngine
from bankrack.serving.upstreams import Upstream
from soak.gateway import cutoff
from storeera import StoreEra

ACCEPTING_SECONDS = 2.0
"""Time after which a gateway with the bug ``unaccepting`` accepts nothing more."""
SEND_BUFFER_BYTES = 4096
"""Size of the kernel's send buffers of connections to callers."""


def resume_from_start() -> None:
    """Resume streams at their first event and relay duplicate events."""
    original = engines.PlatformUpstreams.request_headers

    def request_headers(self: engines.PlatformUpstreams, send: t.Any) -> t.Any:
        found = original(self, send)
        return [header for header in found if header[0] != headernames.LAST_EVENT_ID]

    engines.PlatformUpstreams.request_headers = request_headers  # type: ignore[method-assign]
    EventOrder.accept = lambda self, event: True  # type: ignore[method-assign]


def report_not_run() -> None:
    """Report every upstream failure with outcome "not run"."""
    UpstreamFailed.outcome = Outcome.NOT_RUN
    UpstreamFailed.status = 503


def retry_anything() -> None:
    """Retry requests that may have run."""

    def may_repeat(self: PlainRelay, work: t.Any, sends: t.Any) -> bool:
        return work.route.kind is not RequestKind.STREAM and sends.runs < 3

    PlainRelay._may_repeat = may_repeat  # type: ignore[method-assign]


def ignore_leaving() -> None:
    """Send new requests to upstreams that are leaving."""
    Upstream.leaving = property(lambda self: False)  # type: ignore[method-assign,assignment]


def keep_first_table() -> None:
    """Never adopt a newer configuration."""
    original = View._adopt_table

    def adopt(self: View, table: t.Any, item: t.Any, source: str) -> None:
        if self.table is None:
            original(self, table, item, source)

    View._adopt_table = adopt  # type: ignore[method-assign]


def forget_crashes() -> None:
    """Send requests that crashed upstreams before."""
    CrashRegister.blamed = lambda self, *found, **more: None  # type: ignore[method-assign]


def ignore_notices() -> None:
    """Ignore the notices in upstreams' responses."""
    NoticeHandler.take = lambda self, *found, **more: None  # type: ignore[method-assign]


def limit_per_node() -> None:
    """Enforce rate limits on each node alone, without a shared coordinator."""
    Coordinators.candidates = lambda self, upstream_id: [self._own]  # type: ignore[method-assign]
    Coordinators.is_coordinator = lambda self, upstream_id: True  # type: ignore[method-assign]


def trust_failing() -> None:
    """Send requests to upstreams that failed some just before."""
    outliers.judge = lambda outcomes, **more: Healthy()  # type: ignore[assignment]
    Chooser.suspect = lambda self, upstream: None  # type: ignore[method-assign]


def ignore_speeds() -> None:
    """Take all engines for equally fast."""
    EngineSpeeds.factor = lambda self, engine_id: 1.0  # type: ignore[method-assign]


def stop_at_once() -> None:
    """Stop without finishing the requests in flight."""

    async def stop(self: Gateway, reason: str) -> None:
        await self._close()

    Gateway.stop = stop  # type: ignore[method-assign]


def keep_send_buffers_small() -> None:
    """Let the gateway, not the kernel, hold what callers do not read; not a bug."""
    start = CallerServer.start

    async def start_small(self: CallerServer, address: str, **options: t.Any) -> None:
        await start(self, address, **options)
        assert self._listener is not None
        for listener in self._listener.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    CallerServer.start = start_small  # type: ignore[method-assign]


def stop_accepting() -> None:
    """Accept no callers' connections after a time; everything else goes on."""
    start = CallerServer.start

    async def start_and_stop(
        self: CallerServer, address: str, **options: t.Any
    ) -> None:
        await start(self, address, **options)
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        for listener in self._listener.sockets:
            descriptor = listener.fileno()
            loop.call_later(ACCEPTING_SECONDS, loop._remove_reader, descriptor)  # type: ignore[attr-defined]

    CallerServer.start = start_and_stop  # type: ignore[method-assign]


def open_no_tunnels() -> None:
    """Reach upstreams directly only."""
    Gateway._start_tunnels = lambda self, address: asyncio.sleep(0)  # type: ignore[method-assign]


def ignore_eras() -> None:
    """Compare the store's revisions across its returns from copies."""
    StoreEra.note = lambda self, values: 0  # type: ignore[method-assign]


def press_brittle() -> None:
    """Ignore how many rejections an upstream bears."""
    notices._rate_limit = lambda notice, known, sent_at: notice.rate_limit


def keep_silent_engines() -> None:
    """Keep a silent engine until the head of its copy's answer has come."""
    SilentEngine.note_sent = lambda self: None  # type: ignore[method-assign]


def leave_unasked() -> None:
    """Leave a silent engine for a copy without asking either."""

    async def ask(
        self: EngineInquiry, engine: t.Any, copies: t.Any, *, sent_at: float
    ) -> Answers:
        holders = {copy.holder.id for copy in copies if copy.holder is not engine}
        return Answers(Unanswered(), frozenset(holders))

    EngineInquiry.ask = ask  # type: ignore[method-assign]


def resume_without_events() -> None:
    """Resume runs of which the caller has no event."""
    Run._usable_copies = lambda self: self._copies.current  # type: ignore[method-assign]


def confirm_nothing() -> None:
    """Take the end of a connection for the end of a response, without a question."""
    ResponseEnds.confirm = lambda self, *found, **more: asyncio.sleep(0)  # type: ignore[method-assign]


def refuse_nothing() -> None:
    """Keep the requests that a stop ought to end until the process ends."""
    Dispatcher.end_requests = lambda self: None  # type: ignore[method-assign]


def log_some_ends() -> None:
    """Leave out the ends of some requests while the gateway stops."""
    log = Dispatcher._log

    def log_some(self: Dispatcher, job: Job, *found: t.Any, **more: t.Any) -> None:
        if self._stop_began_at is None or sum(job.id.encode()) % 3:
            log(self, job, *found, **more)

    Dispatcher._log = log_some  # type: ignore[method-assign]


def back_up_all() -> None:
    """Give all runs backups, also before crashes make them worth it; not a bug."""
    Allocator._backup_fits = lambda self, engines, request: True  # type: ignore[method-assign]


BUGS = {
    "direct": open_no_tunnels,
    "era": ignore_eras,
    "brittle": press_brittle,
    "none": lambda: None,
    "backups": back_up_all,
    "resume": resume_from_start,
    "outcome": report_not_run,
    "repeat": retry_anything,
    "leaving": ignore_leaving,
    "table": keep_first_table,
    "stop": stop_at_once,
    "forget": forget_crashes,
    "deaf": ignore_notices,
    "alone": limit_per_node,
    "trusting": trust_failing,
    "level": ignore_speeds,
    "unaccepting": stop_accepting,
    "hasty": leave_unasked,
    "lingering": keep_silent_engines,
    "eventless": resume_without_events,
    "unconfirmed": confirm_nothing,
    "unrefused": refuse_nothing,
    "unlogged": log_some_ends,
}


def main() -> int:
    """Enable the bug and run the gateway."""
    for name in sys.argv[1].split(","):
        BUGS[name]()
    keep_send_buffers_small()
    cutoff.install(sys.argv[2])
    os.environ[serve.SETTINGS_VARIABLE] = sys.argv[2]
    return serve.main()


if __name__ == "__main__":
    serve.end_process(main())
