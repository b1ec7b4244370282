"""Logged events of a run."""

import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Wait
from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.serving.assignment import Assignment
from bankrack.serving.callprogress import CallPhase
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.events import EventOrder
from bankrack.serving.forwarding import EventForwarder
from bankrack.serving.upstreams import Upstream

_logger = logging.getLogger(__name__)


class RunLog:
    """Logs events of a run with its request and the engine's latest report.

    :param order: holds the id of the last event that the caller received.
    """

    __slots__ = ("_order", "_work")

    def __init__(self, work: Assignment, order: EventOrder) -> None:
        self._work = work
        self._order = order

    def write(
        self,
        name: str,
        engine: Upstream,
        outcome: str,
        reason: str = "",
        *,
        backup: str | None = None,
        **details: t.Any,
    ) -> None:
        """Log one event.

        :param name: name of the event, in snake case.
        :param backup: id of the engine that keeps the run's backup.
        :param details: further keys of this event.
        """
        now = boottime()
        report = engine.report
        is_fresh = now - engine.slowdown_at <= FRESH_SECONDS
        logs.event(
            _logger,
            name,
            request=self._work.job.id,
            upstream=engine.id,
            address=engine.address,
            leaving=engine.leaving,
            outcome=outcome,
            reason=reason or None,
            backup=backup,
            last_event=self._order.last,
            report_age=now - report.taken if report else None,
            answered_ago=now - engine.responded_at if engine.responded_at > 0 else None,
            used=report.used if report else None,
            slowdown=engine.slowdown if is_fresh else None,
            **details,
            elapsed=now - self._work.job.arrived,
        )

    def write_no_reservation(
        self,
        engine: Upstream,
        reason: str,
        progress: CallProgress | None,
        *,
        timer_late: float,
        in_flight: int,
    ) -> None:
        """Log that an engine did not answer a request for a reservation in time.

        :param progress: progress of the call; ``None`` if it was not sent yet.
        :param timer_late: delay of the timer that ended the wait; 0 without one.
        :param in_flight: such requests of this node that were in flight.
        """
        self.write(
            "hold_failed",
            engine,
            "failed",
            reason,
            phase=progress.phase if progress else CallPhase.QUEUED,
            took=boottime() - progress.started_at if progress else None,
            connected_after=progress.connecting_seconds if progress else None,
            reused=progress.reused if progress else None,
            timer_late=timer_late,
            in_flight=in_flight,
        )

    def write_verdict(self, name: str, verdict: Wait | Refuse) -> None:
        """Log why the run waits in the admission queue or is refused."""
        queueing = verdict.queueing
        logs.event(
            _logger,
            name,
            request=self._work.job.id,
            rank=f"{self._work.priority}.{self._work.route.priority}",
            ahead=verdict.ahead,
            expected=verdict.expected,
            time_left=self._work.time_left(),
            elapsed=boottime() - self._work.job.arrived,
            workspace_share=queueing.workspace_share if queueing else None,
            booked=verdict.booked if isinstance(verdict, Refuse) else None,
            returning=queueing.returning if queueing else None,
        )

    def write_pace(self, forwarder: EventForwarder, *, whole: bool) -> None:
        """Log the pace of a stream and its longest pause.

        :param whole: whether the stream was completed.
        """
        logs.event(
            _logger,
            "stream_paced",
            request=self._work.job.id,
            whole=whole,
            first_event=forwarder.began_at - self._work.job.arrived,
            events=forwarder.count,
            between_events=forwarder.gap,
            longest_pause=forwarder.longest_pause.seconds,
            pause_after=forwarder.longest_pause.event,
            pause_moved=forwarder.longest_pause.moved,
            stood_still=forwarder.excess_pause_seconds,
            upstream=forwarder.gaps.engine or None,
            base_gap=forwarder.gaps.base,
        )
