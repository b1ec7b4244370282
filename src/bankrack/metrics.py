"""Prometheus metrics of a node.

Per-token figures are accumulated in plain lists and added to the registry when
the stream ends, so that no label is looked up for each token.
"""

import bisect
import typing as t

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import render
from aioprometheus.collectors import Registry

GAP_BUCKETS = (0.01, 0.02, 0.03, 0.04, 0.05, 0.061, 0.08, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.78, 1.0, 2.0, 5.0, 10.0, 30.0)
LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0, 40.0)
OVERLAP_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.8, 2.0)
STALL_THRESHOLD_SECONDS = 0.1


class GapRecorder:
    """Accumulates the gaps between the tokens of one stream, in seconds.

    The part of a gap above :data:`STALL_THRESHOLD_SECONDS` counts as stall time.
    """

    __slots__ = ("_last", "counts", "stall")

    def __init__(self) -> None:
        self.counts = [0] * (len(GAP_BUCKETS) + 1)
        self.stall = 0.0
        self._last = 0.0

    def record(self, now: float) -> bool:
        """Record tokens that arrived at time ``now``; return whether they are first."""
        last, self._last = self._last, now
        if not last:
            return True
        gap = now - last
        self.counts[bisect.bisect_left(GAP_BUCKETS, gap)] += 1
        if gap > STALL_THRESHOLD_SECONDS:
            self.stall += gap - STALL_THRESHOLD_SECONDS
        return False


class _MetricsPage:
    """Base class for metrics with a separate registry."""

    def __init__(self) -> None:
        self.registry = Registry()

    def page(self, accept: t.Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Render the metrics in a format of ``accept``; return the body and headers."""
        content, headers = render(self.registry, list(accept))
        return content, dict(headers)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str, buckets: t.Sequence[float]) -> Histogram:
        return Histogram(name, doc, buckets=list(buckets), registry=self.registry)


class GatewayMetrics(_MetricsPage):
    """Metrics of one gateway."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter("bankrack_requests", "Requests by outcome")
        self.sends = self._counter("bankrack_sends", "Sends to upstreams by outcome")
        self.resumes = self._counter("bankrack_resumes", "Streams resumed, by outcome")
        self.stream_ends = self._counter(
            "bankrack_stream_ends",
            "Streams that engines ended without an error, by framing",
        )
        self.response_ends = self._counter(
            "bankrack_response_ends",
            "Responses that only the end of their connection ended, by outcome",
        )
        self.surplus_answers = self._counter(
            "bankrack_surplus_answers",
            "Control calls behind whose answer an upstream sent more bytes",
        )
        self.broken_off = self._counter(
            "bankrack_broken_off",
            "Responses that ended before they were complete, by who ended them",
        )
        self.overlap = self._histogram(
            "bankrack_run_overlap_seconds",
            "Time from sending a run to another engine until its silent engine is left",
            OVERLAP_BUCKETS,
        )
        self.reservations = self._counter(
            "bankrack_reservations", "Requests for reservations on engines, by outcome"
        )
        self.reservation_seconds = self._histogram(
            "bankrack_reservation_seconds",
            "Time from a request for a reservation to its answer",
            LATENCY_BUCKETS,
        )
        self.connections = self._counter(
            "bankrack_upstream_connections",
            "Attempts to connect to upstreams, by path and outcome",
        )
        self.tunnels = self._counter(
            "bankrack_tunnels", "Tunnels that other nodes requested, by outcome"
        )
        self.permits = self._counter(
            "bankrack_permits", "Permits under rate limits, by outcome and source"
        )
        self.exclusions = self._counter(
            "bankrack_exclusions", "Exclusions of failing upstreams, by outcome"
        )
        self.cuts = self._counter(
            "bankrack_caller_cuts", "Callers cut off as they read too slowly, by reason"
        )
        self.caller_connections = self._counter(
            "bankrack_caller_connections", "New connections of callers, by outcome"
        )
        self.pool_overflows = self._counter(
            "bankrack_pool_overflows",
            "Runs for which a second pool was asked, by its answer",
        )
        self.updates = self._counter(
            "bankrack_updates", "Requests of nodes for the whole view, by outcome"
        )
        self.transfer_bytes = self._counter(
            "bankrack_transfer_bytes",
            "Bytes of views sent to and received from nodes, by direction and outcome",
        )
        self.transfer_seconds = self._histogram(
            "bankrack_transfer_seconds",
            "Time from a request for an update of the view to its last byte",
            LATENCY_BUCKETS,
        )
        self.latency = self._histogram(
            "bankrack_answer_seconds", "Time to the answer", LATENCY_BUCKETS
        )
        self.blocked = self._histogram(
            "bankrack_loop_blocked_seconds",
            "Time for which the event loop was blocked",
            LATENCY_BUCKETS,
        )
        self.values = self._gauge("bankrack_value", "State of the node by name")

    def note_transfer(
        self, direction: str, outcome: str, size: int, seconds: float
    ) -> None:
        """Count a message by which the view is replicated.

        :param direction: ``sent`` or ``received``.
        :param size: in bytes.
        :param seconds: from the request to the last byte received.
        """
        labels = {"direction": direction, "outcome": outcome}
        self.transfer_bytes.add(labels, size)
        if direction == "received":
            self.transfer_seconds.observe({"outcome": outcome}, seconds)


class Metrics(_MetricsPage):
    """Metrics of one node."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter("bankrack_requests", "Requests by outcome")
        self.tokens = self._counter("bankrack_tokens", "Tokens delivered")
        self.stall = self._counter("bankrack_stall_seconds", "Stall time of streams")
        self.gaps = self._counter("bankrack_token_gaps", "Gaps by upper bound")
        self.resumes = self._counter("bankrack_resumes", "Streams resumed")
        self.discarded = self._counter("bankrack_events_discarded", "Repeated events")
        self.violations = self._counter("bankrack_violations", "Invariants violated")
        self.values = self._gauge("bankrack_value", "State of the node by name")
        self.first_token = self._histogram(
            "bankrack_first_token_seconds", "Time to first token", FIRST_TOKEN_BUCKETS
        )

    def stream_ended(self, service: str, gaps: GapRecorder, tokens: int) -> None:
        """Add the figures of a finished stream to the registry."""
        labels = {"service": service}
        self.tokens.add(labels, tokens)
        if gaps.stall:
            self.stall.add(labels, gaps.stall)
        bounds = [*map(str, GAP_BUCKETS), "+Inf"]
        for bound, count in zip(bounds, gaps.counts, strict=True):
            if count:
                self.gaps.add({"service": service, "le": bound}, count)
