"""``bankrack lab run``: plays of a scenario over several seeds, and their counts."""

import argparse
import pathlib
import sys
import typing as t

import msgspec

from bankrack import logs
from bankrack.lab.poolplay import Fate
from bankrack.lab.poolplay import Play
from bankrack.lab.poolplay import Tally
from bankrack.lab.poolscenario import load


class StreamFigures(msgspec.Struct):
    """Counts of one kind of run, over all seeds.

    :param first_p95: seconds to the first token of 95 in 100 runs.
    """

    name: str
    count_by_fate: dict[str, int]
    first_p95: float


class Figures(msgspec.Struct):
    """What all plays counted.

    :param read_in_vain: prompt tokens; ``held_in_vain`` in seconds of callers.
    :param jain: Jain's index over the workspaces' shares in time, on average.
    """

    scenario: str
    lined: bool
    seeds: list[int]
    streams: list[StreamFigures]
    read_in_vain: int
    preempted: int
    held_in_vain: float
    jain: float


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands of ``bankrack lab``."""
    subparsers = parser.add_subparsers(required=True, metavar="WHAT")
    run = subparsers.add_parser("run", help="play a scenario over several seeds")
    run.add_argument("scenario", help="TOML file, as examples/lab/overload.toml")
    run.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    run.add_argument("--output", default="", help="JSON file; a table is printed too")
    run.add_argument(
        "--without-line",
        action="store_true",
        help="send runs to the engine preferred, with no line and no refusal",
    )
    run.set_defaults(lab=_run)


def run_command(arguments: argparse.Namespace) -> int:
    """Run one of the subcommands."""
    logs.configure("WARNING", descriptor=logs.STDERR)
    arguments.lab(arguments)
    return 0


def _run(arguments: argparse.Namespace) -> None:
    scenario = load(arguments.scenario)
    lined = not arguments.without_line
    tallies = []
    for seed in arguments.seeds:
        print(f"playing seed {seed}", file=sys.stderr)
        tallies.append(Play(scenario, seed=seed, lined=lined).run())
    figures = _gather(arguments.scenario, arguments.seeds, tallies, lined=lined)
    print(_table(figures))
    if arguments.output:
        path = pathlib.Path(arguments.output)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


def _gather(
    name: str, seeds: list[int], tallies: t.Sequence[Tally], *, lined: bool
) -> Figures:
    return Figures(
        scenario=name,
        lined=lined,
        seeds=seeds,
        streams=[_figures_of(s, tallies) for s in tallies[0].fates_by_stream],
        read_in_vain=sum(tally.read_in_vain for tally in tallies),
        preempted=sum(tally.preempted for tally in tallies),
        held_in_vain=sum(tally.held_in_vain for tally in tallies),
        jain=sum(tally.jain() for tally in tallies) / len(tallies),
    )


def _figures_of(stream: str, tallies: t.Sequence[Tally]) -> StreamFigures:
    counts = {
        fate.value: sum(tally.fates_by_stream[stream][fate] for tally in tallies)
        for fate in Fate
    }
    waits = sorted(wait for tally in tallies for wait in tally.first_waits[stream])
    p95 = waits[int(0.95 * (len(waits) - 1))] if waits else 0.0
    return StreamFigures(stream, counts, p95)


def _table(figures: Figures) -> str:
    fates = [fate.value for fate in Fate]
    lines = ["  ".join(["kind".ljust(12), *fates, "first token, 95 in 100"])]
    for stream in figures.streams:
        cells = [str(stream.count_by_fate[fate]).rjust(len(fate)) for fate in fates]
        lines.append(
            "  ".join([stream.name.ljust(12), *cells, f"{stream.first_p95:.2f} s"])
        )
    lines.append(
        f"prompt tokens read in vain {figures.read_in_vain}, runs preempted "
        f"{figures.preempted}, callers held in vain {figures.held_in_vain:.0f} s, "
        f"Jain's index of workspaces {figures.jain:.3f}"
    )
    return "\n".join(lines)
