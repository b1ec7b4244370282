"""What callers were told, compared at the end with what truly ran."""

import collections
import datetime
import pathlib
import re
import typing as t

SENT = re.compile(r"time=(\S+ \S+) .*event=attempt_sent .*upstream=(\S+)")


class Run(t.NamedTuple):
    """One true run, from a stand-in's journal."""

    at: float
    upstream: str
    tag: str
    key: str


class Ledger:
    """Collects answers, violations and faults of one soak."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.not_run_tags: dict[str, str] = {}
        self.leaving_spans: list[tuple[str, float, float]] = []
        self.resumed = 0
        self.tokens = 0
        self.convergence: list[float] = []

    def violation(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(text)
        print(f"VIOLATION {text}", flush=True)

    def told_not_run(self, tag: str, code: str) -> None:
        """Note that a caller was told that its request did not run."""
        self.not_run_tags[tag] = code

    def judge(
        self, journals: dict[str, pathlib.Path], logs: t.Iterable[pathlib.Path]
    ) -> None:
        """Compare the answers with the true runs and the nodes' logs."""
        runs = _read(journals)
        self._judge_not_run(runs)
        self._judge_keys(runs)
        for path in logs:
            self._judge_leaving(path)

    def _judge_not_run(self, runs: list[Run]) -> None:
        for run in runs:
            if run.tag in self.not_run_tags:
                code = self.not_run_tags[run.tag]
                self.violation(
                    f"{run.tag} told not_run ({code}), ran on {run.upstream}"
                )

    def _judge_keys(self, runs: list[Run]) -> None:
        counts = collections.Counter(run.key for run in runs if run.key)
        for key, count in counts.items():
            if count > 1:
                self.violation(f"key {key} ran {count} times")

    def _judge_leaving(self, path: pathlib.Path) -> None:
        """Look for work sent to a leaving upstream.

        The journals tell when it arrived, which a stalled link may delay.
        """
        log = path.read_text(encoding="utf-8", errors="replace")
        for moment, upstream in SENT.findall(log):
            at = datetime.datetime.fromisoformat(moment.replace(",", ".")).timestamp()
            for leaving, start, end in self.leaving_spans:
                if upstream == leaving and start < at < end:
                    late = at - start
                    self.violation(
                        f"{path.name}: {leaving} sent work {late:.1f} s late"
                    )

    def report(self) -> str:
        """Summarise."""
        lines = ["faults injected:"]
        lines += [f"  {name}: {count}" for name, count in sorted(self.faults.items())]
        lines.append("requests by outcome:")
        lines += [f"  {name}: {count}" for name, count in sorted(self.outcomes.items())]
        lines.append(f"streams resumed by callers: {self.resumed}")
        lines.append(f"tokens checked: {self.tokens}")
        if self.convergence:
            slowest = max(self.convergence)
            lines.append(
                f"confirmed plans: {len(self.convergence)}, slowest in force on all "
                f"nodes that ran undisturbed after {slowest:.1f} s"
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
