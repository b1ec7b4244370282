"""``bankrack lab run``: simulates a scenario with several seeds and reports counts."""

import argparse
import pathlib
import sys
import typing as t

import msgspec

from bankrack import logs
from bankrack.lab.poolscenario import load
from bankrack.lab.poolsimulation import RunOutcome
from bankrack.lab.poolsimulation import Simulation
from bankrack.lab.poolsimulation import SimulationResult


class StreamSummary(msgspec.Struct):
    """Counts of one stream over all seeds.

    :param first_p95: 95th percentile of the time to the first token, in seconds.
    """

    name: str
    count_by_fate: dict[str, int]
    first_p95: float


class Summary(msgspec.Struct):
    """Counts of all simulations.

    :param lined: whether the admission queue was used.
    :param read_in_vain: tokens whose prefill was lost to preemption.
    :param held_in_vain: seconds for which callers waited before their runs expired.
    :param jain: mean of Jain's fairness index of the fractions in time by workspace.
    """

    scenario: str
    lined: bool
    seeds: list[int]
    streams: list[StreamSummary]
    read_in_vain: int
    preempted: int
    held_in_vain: float
    jain: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands of ``bankrack lab``."""
    subparsers = parser.add_subparsers(required=True, metavar="WHAT")
    run = subparsers.add_parser("run", help="simulate a scenario with several seeds")
    run.add_argument("scenario", help="TOML file, as examples/lab/overload.toml")
    run.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    run.add_argument(
        "--output", default="", help="JSON file, in addition to the printed table"
    )
    run.add_argument(
        "--without-line",
        action="store_true",
        help="send runs to the preferred engine, without admission queue or refusal",
    )
    run.set_defaults(lab=_run)


def run_command(arguments: argparse.Namespace) -> int:
    """Run the selected subcommand."""
    logs.configure("WARNING", descriptor=logs.STDERR)
    arguments.lab(arguments)
    return 0


def _run(arguments: argparse.Namespace) -> None:
    scenario = load(arguments.scenario)
    lined = not arguments.without_line
    results = []
    for seed in arguments.seeds:
        print(f"simulating seed {seed}", file=sys.stderr)
        results.append(Simulation(scenario, seed=seed, with_queue=lined).run())
    summary = _summarize(arguments.scenario, arguments.seeds, results, lined=lined)
    print(_table(summary))
    if arguments.output:
        path = pathlib.Path(arguments.output)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(summary)))


def _summarize(
    name: str, seeds: list[int], results: t.Sequence[SimulationResult], *, lined: bool
) -> Summary:
    return Summary(
        scenario=name,
        lined=lined,
        seeds=seeds,
        streams=[_summarize_stream(s, results) for s in results[0].outcomes_by_stream],
        read_in_vain=sum(result.wasted_prefill_tokens for result in results),
        preempted=sum(result.preempted for result in results),
        held_in_vain=sum(result.wasted_wait_seconds for result in results),
        jain=sum(result.jain_index() for result in results) / len(results),
    )


def _summarize_stream(
    stream: str, results: t.Sequence[SimulationResult]
) -> StreamSummary:
    counts = {
        outcome.value: sum(
            result.outcomes_by_stream[stream][outcome] for result in results
        )
        for outcome in RunOutcome
    }
    latencies = sorted(
        latency
        for result in results
        for latency in result.first_token_latencies[stream]
    )
    p95 = latencies[int(0.95 * (len(latencies) - 1))] if latencies else 0.0
    return StreamSummary(stream, counts, p95)


def _table(summary: Summary) -> str:
    outcomes = [outcome.value for outcome in RunOutcome]
    lines = ["  ".join(["stream".ljust(12), *outcomes, "p95 time to first token"])]
    for stream in summary.streams:
        cells = [
            str(stream.count_by_fate[outcome]).rjust(len(outcome))
            for outcome in outcomes
        ]
        lines.append(
            "  ".join([stream.name.ljust(12), *cells, f"{stream.first_p95:.2f} s"])
        )
    lines.append(
        f"wasted prefill tokens {summary.read_in_vain}, preempted runs "
        f"{summary.preempted}, wasted wait of callers {summary.held_in_vain:.0f} s, "
        f"Jain's fairness index of workspaces {summary.jain:.3f}"
    )
    return "\n".join(lines)
