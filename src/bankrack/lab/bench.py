"""Experiments in virtual time, and their reports.

``bankrack bench run`` runs one seed of an experiment and writes JSON;
``bankrack bench report`` combines the files of several seeds.  One process runs
one seed, so that several seeds can run in parallel.
"""

import argparse
import dataclasses
import pathlib
import statistics
import time
import typing as t

import msgspec

from bankrack.lab.experiment import Experiment
from bankrack.lab.experiment import INDEPENDENT
from bankrack.lab.experiment import OWNER
from bankrack.lab.experiment import percentile
from bankrack.lab.experiment import Result
from bankrack.lab.experiment import Setup
from bankrack.lab.experiment import SHARED
from bankrack.lab.workloads import Phase
from bankrack.lab.workloads import WORKLOADS_BY_NAME
from bankrack.scheduling.policies import FewestInFlight
from bankrack.scheduling.policies import Forecast
from bankrack.scheduling.policies import LeastReported
from bankrack.scheduling.policies import ReserveMaximum
from bankrack.scheduling.policies import RoundRobin

# Requests per second at which the throughput of the oracle policy saturates.
CAPACITY_BY_WORKLOAD = {"derwent": 11.5, "letterwerf": 11.0, "drift": 6.5}
ORACLE = Forecast(z=0.0, first_z=0.0, oracle=True)
PLAIN_ORACLE = dataclasses.replace(ORACLE, separate=False, reserve=False)
POLICIES: dict[str, t.Any] = {
    "round robin": RoundRobin(),
    "fewest in flight": FewestInFlight(),
    "least reported": LeastReported(),
    "reserve maximum": ReserveMaximum(),
    "forecast": Forecast(),
    "oracle": PLAIN_ORACLE,
    "oracle, separate": ORACLE,
}
ABLATIONS: dict[str, t.Any] = {
    "forecast": Forecast(),
    "without separation": Forecast(separate=False),
    "without reserve": Forecast(reserve=False),
    "without patience": Forecast(separation_seconds=0.0),
    "without condition": Forecast(conditional=False),
    "without affinity": Forecast(affinity=False),
    "without caution": Forecast(cautious=False),
    "z 1.0": Forecast(z=1.0),
    "z 2.0": Forecast(z=2.0),
}
LOADS = (0.9, 1.1)
OVERLOADS = (0.5, 0.9, 1.2, 2.0, 4.0)
LAGS = (0.5, 1.0, 5.0)
PHASE_SECONDS = 60.0


class Row(msgspec.Struct):
    """Measurements of one run; times in seconds.

    :param variant: label of the policy or view.
    :param load: request rate as a fraction of the capacity.
    :param late: fraction of requests with a late first token.
    """

    experiment: str
    workload: str
    variant: str
    load: float
    seed: int
    preemptions: float
    stall: float
    first_stall: float
    first_p99_gap: float
    first_p95_wait: float
    tokens_per_second: float
    refused: float
    first_refused: float
    late: float
    run_seconds: float
    good_tokens_by_phase: list[float] = []


def measure(experiment: str, variant: str, load: float, setup: Setup) -> Row:
    """Run one setup and summarize its result."""
    started = time.monotonic()
    result = Experiment(setup).run()
    first = [
        result.by_service[kind.service]
        for kind in setup.workload.kinds
        if kind.priority == 0 and kind.service in result.by_service
    ]
    ran = max(1, sum(s.total - s.refused for s in first))
    gaps = [gap for service in first for gap in service.gaps]
    waits = [wait for service in first for wait in service.first_tokens]
    return Row(
        experiment=experiment,
        workload=setup.workload.name,
        variant=variant,
        load=load,
        seed=setup.seed,
        preemptions=result.preemptions_per_request,
        stall=result.stall_per_request,
        first_stall=sum(s.stall for s in first) / ran,
        first_p99_gap=percentile(gaps, 0.99),
        first_p95_wait=percentile(waits, 0.95),
        tokens_per_second=result.tokens_per_second,
        refused=result.refused / max(1, result.total),
        first_refused=sum(s.refused for s in first) / max(1, ran),
        late=_late_fraction(result),
        run_seconds=time.monotonic() - started,
        good_tokens_by_phase=_goodput_by_phase(result) if setup.phases else [],
    )


def _goodput_by_phase(result: Result) -> list[float]:
    """Tokens per second of responses completed in time, for each phase."""
    counts = result.good_tokens_by_second
    length = int(PHASE_SECONDS)
    return [
        sum(counts.get(second, 0) for second in range(start, start + length)) / length
        for start in range(0, int(result.seconds), length)
    ]


def _late_fraction(result: Result) -> float:
    return sum(s.late for s in result.by_service.values()) / max(1, result.total)


def runs(
    experiment: str, workload: str, seed: int, seconds: float
) -> t.Iterator[tuple[str, float, Setup]]:
    """Yield variant, load and setup of each run of an experiment."""
    capacity = CAPACITY_BY_WORKLOAD[workload]
    shape = WORKLOADS_BY_NAME[workload]
    base = Setup(shape, Forecast(), capacity, seconds=seconds, seed=seed)
    match experiment:
        case "policies" | "ablations":
            variants = POLICIES if experiment == "policies" else ABLATIONS
            for load in LOADS:
                for name, policy in variants.items():
                    rate = capacity * load
                    yield (
                        name,
                        load,
                        dataclasses.replace(base, policy=policy, rate=rate),
                    )
        case "views":
            rate = capacity * 0.9
            for lag in LAGS:
                for view in (OWNER, SHARED, INDEPENDENT):
                    name = f"{view}, lag {lag:g} s"
                    yield (
                        name,
                        0.9,
                        dataclasses.replace(base, rate=rate, view=view, lag=lag),
                    )
            crash = dataclasses.replace(base, rate=rate, owner_crashes_at=seconds / 2)
            yield "owner lost halfway", 0.9, crash
            fewest = dataclasses.replace(
                base, rate=rate, view=INDEPENDENT, policy=FewestInFlight()
            )
            yield "fewest in flight, alone", 0.9, fewest
        case "overload":
            factors = (*OVERLOADS, OVERLOADS[0], OVERLOADS[0])
            phases = tuple(
                Phase(number * PHASE_SECONDS, factor)
                for number, factor in enumerate(factors)
            )
            ramp = dataclasses.replace(
                base, phases=phases, seconds=PHASE_SECONDS * len(phases)
            )
            yield "forecast", 1.0, ramp
            fewest = dataclasses.replace(ramp, policy=FewestInFlight())
            yield "fewest in flight", 1.0, fewest
        case "capacity":
            for load in (0.8, 1.0, 1.2, 1.5):
                rate = capacity * load
                setup = dataclasses.replace(base, rate=rate, policy=PLAIN_ORACLE)
                yield "oracle", load, setup
        case _:
            raise ValueError(f"unknown experiment {experiment}")


EXPERIMENTS = ("policies", "ablations", "views", "overload", "capacity")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands of ``bankrack bench``."""
    subparsers = parser.add_subparsers(required=True, metavar="WHAT")
    run = subparsers.add_parser("run", help="run one seed")
    run.add_argument("--experiment", choices=EXPERIMENTS, default="policies")
    run.add_argument("--workload", choices=sorted(WORKLOADS_BY_NAME), default="derwent")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--seconds", type=float, default=180.0, help="virtual seconds")
    run.add_argument("--output", default="", help="JSON file; default: print a table")
    run.set_defaults(bench=_run)
    report = subparsers.add_parser("report", help="combine the files of several seeds")
    report.add_argument("files", nargs="+")
    report.add_argument("--plot", default="", help="SVG file; requires matplotlib")
    report.set_defaults(bench=_report)


def run(arguments: argparse.Namespace) -> int:
    """Run the selected subcommand."""
    return t.cast(int, arguments.bench(arguments))


def _run(arguments: argparse.Namespace) -> int:
    rows = [
        measure(arguments.experiment, variant, load, setup)
        for variant, load, setup in runs(
            arguments.experiment,
            arguments.workload,
            arguments.seed,
            arguments.seconds,
        )
    ]
    if arguments.output:
        path = pathlib.Path(arguments.output)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(msgspec.json.encode(rows))
    else:
        print(table(rows))
        print(phase_table(rows))
    return 0


def _report(arguments: argparse.Namespace) -> int:
    rows: list[Row] = []
    for name in arguments.files:
        rows += msgspec.json.decode(pathlib.Path(name).read_bytes(), type=list[Row])
    print(table(rows))
    print()
    print(phase_table(rows))
    if arguments.plot:
        from bankrack.lab import plots  # Imports matplotlib, an optional dependency.

        plots.draw(rows, arguments.plot)
    return 0


GroupKey = tuple[str, str, float, str]
COLUMNS: tuple[tuple[str, str, str], ...] = (
    ("preemptions", "preemptions per request", "{:.4f}"),
    ("stall", "stall (s)", "{:.3f}"),
    ("first_stall", "first-priority stall (s)", "{:.3f}"),
    ("first_p99_gap", "first-priority p99 gap (s)", "{:.3f}"),
    ("first_p95_wait", "first-priority p95 time to first token (s)", "{:.2f}"),
    ("tokens_per_second", "tokens/s", "{:.0f}"),
    ("refused", "refused", "{:.3f}"),
    ("first_refused", "first-priority refused", "{:.3f}"),
    ("late", "late", "{:.3f}"),
)


def grouped(rows: t.Iterable[Row]) -> dict[GroupKey, list[Row]]:
    """Group the rows of all seeds by experiment, workload, load and variant."""
    groups: dict[GroupKey, list[Row]] = {}
    for row in rows:
        key = (row.experiment, row.workload, row.load, row.variant)
        groups.setdefault(key, []).append(row)
    return groups


def table(rows: t.Iterable[Row]) -> str:
    """Return a Markdown table of medians, with the range over all seeds."""
    titles = [title for _, title, _ in COLUMNS]
    header = ["experiment", "workload", "load", "variant", "seeds", *titles]
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    for (experiment, workload, load, variant), group in grouped(rows).items():
        cells = [experiment, workload, f"{load:g}", variant, str(len(group))]
        cells += [_cell(group, name, spec) for name, _, spec in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def phase_table(rows: t.Iterable[Row]) -> str:
    """Return a Markdown table of goodput by load phase; empty without phases."""
    lines = []
    for key, group in grouped(row for row in rows if row.good_tokens_by_phase).items():
        phases = zip(*(row.good_tokens_by_phase for row in group), strict=True)
        cells = [f"{statistics.median(phase):.0f}" for phase in phases]
        lines.append("| " + " | ".join([key[1], key[3], *cells]) + " |")
    if not lines:
        return ""
    factors = [f"{factor:g}" for factor in (*OVERLOADS, OVERLOADS[0], OVERLOADS[0])]
    header = ["workload", "policy", *factors]
    top = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    return "\n".join([*top, *lines])


def _cell(group: list[Row], name: str, spec: str) -> str:
    values = [getattr(row, name) for row in group]
    median_text = spec.format(statistics.median(values))
    if len(values) == 1:
        return median_text
    return f"{median_text} ({spec.format(min(values))} to {spec.format(max(values))})"
