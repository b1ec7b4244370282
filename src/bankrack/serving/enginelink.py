"""Connection of a run to its current engine."""

import functools
import math

from bankrack.clock import boottime
from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.decisions.pauses import PauseCost
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.assignment import Assignment
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.client import Exchange
from bankrack.serving.client import Resume
from bankrack.serving.client import Send
from bankrack.serving.copies import Copies
from bankrack.serving.forwarding import EventForwarder
from bankrack.serving.gaps import GapMeter
from bankrack.serving.relay import RelayDependencies
from bankrack.serving.runlog import RunLog
from bankrack.serving.silentengine import SilentEngine
from bankrack.serving.upstreams import Upstream


class EngineLink:
    """The engine that a run was sent to, its response, and counts of the attempts.

    :ivar engine: engine that has the run, from the moment it is sent.
    :ivar exchange: response of the engine, once its head was received.
    :ivar sends: number of attempts that may have reached an engine.
    :ivar runs: number of times the run may have started anew, without resumptions.
    """

    def __init__(
        self,
        dependencies: RelayDependencies,
        advisor: PlacementAdvisor,
        work: Assignment,
        log: RunLog,
        forwarder: EventForwarder,
    ) -> None:
        self.engine: Upstream | None = None
        self.exchange: Exchange | None = None
        self.sends = 0
        self.runs = 0
        self._dependencies = dependencies
        self._advisor = advisor
        self._work = work
        self._log = log
        self._forwarder = forwarder
        # Start of the first attempt: a run that was resumed is a weaker suspect for a
        # crash than one that has just begun.
        self._began_at: float | None = None
        self._silent: SilentEngine | None = None

    @property
    def silent_engine(self) -> Upstream | None:
        """Silent engine that is still connected while another one is asked, if any."""
        if self._silent is None or self._silent.left:
            return None
        return self._silent.engine

    @property
    def running(self) -> Upstream | None:
        """Engine that currently generates the run's events, if any."""
        return self.engine if self.exchange is not None else None

    @property
    def path_ends(self) -> bool:
        """Whether the response comes through a node that stops."""
        tunnel = self.exchange.tunnel if self.exchange is not None else None
        return tunnel is not None and tunnel.is_ending

    async def open(
        self,
        engine: Upstream,
        copies: Copies,
        *,
        backup: Upstream | None = None,
        reservation: str | None = None,
        resume: Resume | None = None,
    ) -> Exchange:
        """Send the run to ``engine`` and wait for the head of its response.

        :param copies: replaced by ``backup`` if the run may have begun.
        :param reservation: identifier of the run's reservation on ``engine``.
        :param resume: copy to resume from; ``None`` to start the run anew.
        """
        work = self._work
        self._dependencies.crashes.refuse_unless_allowed(
            work, engine, sent=self.sends > 0
        )
        now = boottime()
        kind = "resume" if resume else "first"
        self._dependencies.metrics.sends.inc(
            {"service": work.service.name, "kind": kind}
        )
        send = Send(
            job=work.job,
            upstream=engine,
            workspace=work.workspace,
            priority=work.priority,
            time_left=work.time_left(),
            backup=backup.address if backup else None,
            reservation=reservation,
            resume=resume,
            last_event=self._forwarder.order.last,
            health_path=work.service.health_path,
        )
        self.engine = engine
        self._forwarder.change_engine(GapMeter(engine.id, self._note_paced))
        engine.in_flight += 1
        progress = CallProgress(functools.partial(self._note_sending, send, kind))
        try:
            exchange = await self._dependencies.client.open(send, progress)
        except UpstreamUnreachable:
            self.disconnect()
            self._settle(begun=False)
            raise
        except BaseException:
            self._settle(begun=progress.connected_at is not None)
            self.sends += 1
            self.runs += resume is None
            copies.reset(backup)
            raise
        self.sends += 1
        if exchange.tunnel is not None:
            work.sends.tunnel = exchange.tunnel.name
        self._settle(begun=not exchange.head.not_run)
        if exchange.head.not_run:
            work.sends.rejected += 1
        else:
            self.runs += resume is None
            if resume is None and exchange.head.status >= 500:
                self._note_error(engine)
            else:
                took = boottime() - now if resume is None else 0.0
                self._note_begun(engine, sent_at=now, took=took)
            copies.reset(backup)
        self._log.write(
            "run_sent",
            engine,
            str(exchange.head.status),
            kind,
            backup=backup.id if backup else None,
        )
        return exchange

    def _note_sending(self, send: Send, kind: str) -> None:
        """Record that a connection was established and the run is written to it."""
        self._work.sends.upstreams.append(send.upstream.id)
        self._work.sends.tunnel = None
        source = f"{send.resume.source}/{send.resume.handle}" if send.resume else None
        self._log.write("run_sending", send.upstream, kind, resumed_from=source)
        if self._silent is not None:
            self._silent.note_sent()

    def _settle(self, *, begun: bool) -> None:
        """Leave the silent engine if another one may have begun the run, or keep it."""
        if self._silent is None:
            return
        if begun:
            self._silent.leave("the other engine may have begun")
        else:
            self._silent.keep()

    def _note_begun(self, engine: Upstream, *, sent_at: float, took: float) -> None:
        """Record that an engine has started the run.

        :param took: seconds from the send to the response; 0 for a resumed run.
        """
        work = self._work
        prompt = work.job.demand.prompt
        chooser = self._dependencies.chooser
        self._began_at = self._began_at or boottime()
        engine.note_sent(prompt, sent_at)
        chooser.pace_of(work.service.name).began(prompt, took)
        chooser.answered(engine, failed=False)
        if not math.isinf(engine.slowdown_at):
            self._note_stated(engine)
        self._advisor.began(work, engine, took=took)

    def _note_error(self, engine: Upstream) -> None:
        """Suspect an engine that answered the run with a 5xx at once.

        Otherwise it would seem the fastest and emptiest engine of its pool.
        """
        if self._dependencies.outliers.note_run_error(self._work.fingerprint):
            self.suspect(engine)

    def _note_stated(self, engine: Upstream) -> None:
        """Record the slowdown that an engine has just stated."""
        service = self._work.service.name
        fresh = boottime() - engine.slowdown_at <= FRESH_SECONDS
        if fresh and self._dependencies.upstreams.uneven(service):
            speeds = self._dependencies.chooser.speeds_of(service)
            speeds.observe_stated(engine.id, engine.slowdown)

    def _note_paced(self, gaps: GapMeter) -> None:
        """Tell the pool owner how far apart the run's events are, if engines differ."""
        engine, work = self.engine, self._work
        if engine is None or math.isinf(engine.slowdown_at):
            # Nothing is reported where engines do not state how long work takes.
            return
        if work.route.gap_target and self._dependencies.upstreams.uneven(
            work.service.name
        ):
            pause_cost = PauseCost(work.route.gap_target, work.route.target_latency)
            speeds = self._dependencies.chooser.speeds_of(work.service.name)
            speeds.observe_gaps(engine.id, gaps.base, pause_cost)
            self._advisor.paced(work, gaps)

    def disconnect(self) -> None:
        """Close the connection, which makes the engine stop the run."""
        if self.exchange is not None:
            self._forwarder.gaps.report(self._forwarder.last_at)
            self.exchange.close()
            self.exchange = None
        if self.engine is not None:
            self.engine.in_flight -= 1
            self.engine = None

    def detach(self) -> SilentEngine:
        """Free the link for another engine while the silent one stays connected."""
        assert self.engine is not None and self.exchange is not None
        metrics = self._dependencies.metrics
        self._silent = SilentEngine(self.engine, self.exchange, self._log, metrics)
        self.engine = self.exchange = None
        return self._silent

    def attach(self, silent: SilentEngine) -> None:
        """Return to a silent engine that was kept."""
        self.engine, self.exchange = silent.engine, silent.exchange
        self._silent = None

    def close(self) -> None:
        """Close all connections of the run."""
        self.disconnect()
        if self._silent is not None:
            self._silent.leave("the run ended")

    def suspect(self, engine: Upstream) -> None:
        """Avoid an engine for a while, on this node and in the pool owner's ledger."""
        self._dependencies.chooser.suspect(engine)
        self._dependencies.chooser.answered(engine, failed=True)
        self._advisor.failed(self._work, engine)

    async def note_failure(self, engine: Upstream, error: Exception) -> None:
        """Report the run's failure on an engine to the crash detection."""
        began = self._began_at
        ran = None if began is None else boottime() - began
        await self._dependencies.crashes.note_failure(
            self._work, engine, error, ran=ran, events=self._forwarder.count
        )
