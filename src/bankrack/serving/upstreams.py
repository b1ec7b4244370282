"""The upstreams that are known, what each reported and what runs there."""

import dataclasses
import time
import typing as t


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """What the control plane tells of one upstream.

    :param id: names one life of the process; a restart has a new one.
    :param leaving: it ends soon and takes no new work.
    :param cold_seconds: how long after its start it is slow.
    """

    id: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine told of itself some hundred milliseconds ago.

    :param used: memory that can't give way, in tokens.
    :param taken: monotonic seconds at which the answer came.
    :param tokens_by_run: what each run holds, its prompt among it; empty where the
        engine does not tell, or the report came from another node.
    """

    running: int
    queued: int
    used: int
    total: int
    taken: float
    leaving: bool = False
    tokens_by_run: t.Mapping[str, int] = dataclasses.field(default_factory=dict)


class Upstream:
    """One upstream and what this node knows of it."""

    __slots__ = (
        "failure_rate",
        "failures",
        "first_seen",
        "gone_at",
        "in_flight",
        "leaving_at",
        "load_waiting",
        "record",
        "report",
        "report_learned",
        "sent",
        "suspect_until",
    )

    def __init__(self, record: UpstreamRecord, now: float) -> None:
        self.record = record
        self.first_seen = now
        self.in_flight = 0
        self.failures = 0
        self.sent: list[tuple[float, int]] = []
        self.report: EngineReport | None = None
        self.report_learned = 0.0
        self.load_waiting = 0
        self.failure_rate = 0.0
        self.suspect_until = 0.0
        self.leaving_at = now if record.leaving else 0.0
        self.gone_at = 0.0

    @property
    def id(self) -> str:
        """The id of this life of the upstream."""
        return self.record.id

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        return self.record.address

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.leaving_at > 0.0 or self.gone_at > 0.0

    def describe(self) -> dict[str, t.Any]:
        """What this node believes of it, for the state dump."""
        return {
            "id": self.id,
            "address": self.address,
            "service": self.record.service,
            "leaving": self.leaving,
            "in_flight": self.in_flight,
            "failure_rate": self.failure_rate,
            "used": self.report.used if self.report else None,
        }

    def note_report(
        self, report: EngineReport, *, learned: float | None = None
    ) -> None:
        """Take in a report; what was sent before it is contained in it.

        :param learned: when this node was told of it, where it did not ask itself.
        """
        self.report = report
        self.report_learned = report.taken if learned is None else learned
        if report.leaving and not self.leaving_at:
            self.leaving_at = report.taken

    def note_sent(self, tokens: int, now: float) -> None:
        """Remember that a run of ``tokens`` went there, until reports hold it."""
        self.sent.append((now, tokens))

    def unreported_tokens(self, now: float, *, lag: float) -> int:
        """Tokens sent there that its newest report can't hold yet."""
        since = (self.report.taken if self.report else now) - lag
        self.sent = [item for item in self.sent if item[0] > since]
        return sum(tokens for _, tokens in self.sent)


class Upstreams:
    """All known upstreams by id."""

    def __init__(self, *, clock: t.Callable[[], float] = time.monotonic) -> None:
        self.by_id: dict[str, Upstream] = {}
        self._clock = clock

    def put(self, record: UpstreamRecord) -> str | None:
        """Add or update one; returns what changed, if anything did."""
        now = self._clock()
        known = self.by_id.get(record.id)
        if known is None:
            self.by_id[record.id] = Upstream(record, now)
            return "leaving" if record.leaving else "joined"
        if known.gone_at:
            known.gone_at = 0.0
        if known.record == record:
            return None
        known.record = record
        if record.leaving and not known.leaving_at:
            known.leaving_at = now
            return "leaving"
        return "changed"

    def remove(self, upstream_id: str) -> bool:
        """Note that an upstream's entry went; tells whether it was known.

        The object lives on with the streams that still use it.
        """
        known = self.by_id.pop(upstream_id, None)
        if known is None:
            return False
        known.gone_at = self._clock()
        return True

    def of(self, service: str) -> list[Upstream]:
        """All upstreams of a service, leaving ones too."""
        return [u for u in self.by_id.values() if u.record.service == service]

    def open_of(self, service: str) -> list[Upstream]:
        """The upstreams of a service that take new work."""
        return [u for u in self.of(service) if not u.leaving]
