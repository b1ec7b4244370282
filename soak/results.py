"""Results of a soak, checked at its end against the journals of all upstreams."""

import collections
import datetime
import pathlib
import re
import typing as t

SENT_PATTERN = re.compile(r"time=(\S+ \S+) .*event=attempt_sent .*upstream=(\S+)")


class Run(t.NamedTuple):
    """A run recorded in an upstream's journal.

    :param at: wall clock time in seconds.
    :param key: idempotency key, or empty.
    """

    at: float
    upstream: str
    tag: str
    key: str


class SoakResults:
    """Collects outcomes, violations and faults of one soak.

    :ivar not_run_tags: error code by tag, for requests reported as not run.
    :ivar leaving_spans: upstream, start and end (wall clock) of the times in which it
        may receive no new work.
    :ivar convergence: seconds until each confirmed plan was in force on all nodes that
        no fault affected.
    """

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.not_run_tags: dict[str, str] = {}
        self.leaving_spans: list[tuple[str, float, float]] = []
        self.resumed = 0
        self.tokens = 0
        self.convergence: list[float] = []

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee and print it."""
        self.violations.append(text)
        print(f"VIOLATION {text}", flush=True)

    def record_not_run(self, tag: str, code: str) -> None:
        """Record a response that reports its request as not run."""
        self.not_run_tags[tag] = code

    def check(
        self, journals: dict[str, pathlib.Path], logs: t.Iterable[pathlib.Path]
    ) -> None:
        """Check the responses against the upstreams' journals and the nodes' logs."""
        runs = _read(journals)
        self._check_not_run(runs)
        self._check_keys(runs)
        for path in logs:
            self._check_leaving(path)

    def _check_not_run(self, runs: list[Run]) -> None:
        for run in runs:
            if run.tag in self.not_run_tags:
                code = self.not_run_tags[run.tag]
                self.record_violation(
                    f"{run.tag} was reported as not_run ({code}) but ran on "
                    f"{run.upstream}"
                )

    def _check_keys(self, runs: list[Run]) -> None:
        counts = collections.Counter(run.key for run in runs if run.key)
        for key, count in counts.items():
            if count > 1:
                self.record_violation(f"key {key} ran {count} times")

    def _check_leaving(self, path: pathlib.Path) -> None:
        """Check that no work was sent to leaving upstreams.

        This reads the times from the nodes' logs because a stalled link may delay the
        arrivals in the upstreams' journals.
        """
        log = path.read_text(encoding="utf-8", errors="replace")
        for logged_at, upstream in SENT_PATTERN.findall(log):
            at = datetime.datetime.fromisoformat(
                logged_at.replace(",", ".")
            ).timestamp()
            for leaving, start, end in self.leaving_spans:
                if upstream == leaving and start < at < end:
                    late = at - start
                    self.record_violation(
                        f"{path.name}: work was sent to leaving {leaving} "
                        f"{late:.1f} s too late"
                    )

    def report(self) -> str:
        """Summary of the soak, as text."""
        lines = ["faults injected:"]
        lines += [f"  {name}: {count}" for name, count in sorted(self.faults.items())]
        lines.append("requests by outcome:")
        lines += [f"  {name}: {count}" for name, count in sorted(self.outcomes.items())]
        lines.append(f"streams resumed by callers: {self.resumed}")
        lines.append(f"tokens checked: {self.tokens}")
        if self.convergence:
            slowest = max(self.convergence)
            lines.append(
                f"confirmed plans: {len(self.convergence)}, in force on all "
                f"undisturbed nodes after {slowest:.1f} s at most"
            )
        lines.append(f"violations: {len(self.violations)}")
        return "\n".join(lines)


def _read(journals: dict[str, pathlib.Path]) -> list[Run]:
    runs = []
    for upstream, path in journals.items():
        if not path.exists():
            continue
        for line in path.read_text(encoding="utf-8").splitlines():
            at, tag, key = line.split("\t")
            runs.append(Run(float(at), upstream, tag, key))
    return runs
