"""Scenarios of a pool of engines under load, read from TOML."""

import dataclasses
import pathlib

from bankrack.exceptions import InvalidDocument
from bankrack.lab.poolengine import EngineParameters
from bankrack.tables import parse
from bankrack.tables import Table


@dataclasses.dataclass(slots=True, frozen=True)
class Burst:
    """Multiplies the rate by ``factor`` from ``start`` to ``end``, in seconds."""

    start: float
    end: float
    factor: float


@dataclasses.dataclass(slots=True, frozen=True)
class Stream:
    """One kind of run.

    :param rate: runs per second outside bursts.
    :param rank: rank of the route; 0 is the highest priority.
    :param prompt: mean prompt length, in tokens.
    :param output: mean output length, in tokens.
    :param target: target time to the first token, in seconds.
    :param patience: timeout of callers for the whole run, in seconds.
    :param silence: timeout of callers for the first token, in seconds.
    """

    name: str
    rate: float
    rank: int
    prompt: int
    output: int
    target: float
    patience: float
    silence: float
    bursts: tuple[Burst, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Outage:
    """Crash of engines, which are replaced later.

    :param at: time of the crash, in seconds.
    :param engines: number of engines.
    :param back_at: time at which as many new engines join, in seconds.
    """

    at: float
    engines: int
    back_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A pool of engines and its load.

    :param seconds: length of the period in which runs arrive.
    """

    engines: int
    engine_parameters: EngineParameters
    seconds: float
    workspaces: int
    streams: tuple[Stream, ...]
    outages: tuple[Outage, ...] = ()


def load(path: str) -> Scenario:
    """Read a scenario from a TOML file.

    :raises InvalidDocument: with all problems found in the file.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    parsed = parse(text, path)
    if parsed.is_error():
        raise InvalidDocument(parsed.error)
    root = parsed.ok
    scenario = _read(root)
    if root.problems:
        raise InvalidDocument(root.problems)
    return scenario


def _read(root: Table) -> Scenario:
    pool = root.table("pool")
    engine_parameters = EngineParameters(
        slots=pool.integer("slots", 24, minimum=1, maximum=4096),
        memory=pool.integer("memory", 34_000, minimum=1000, maximum=100_000_000),
        step_seconds=pool.number("step_seconds", 0.007, minimum=1e-5, maximum=10.0),
        run_seconds=pool.number("run_seconds", 0.00005, minimum=0.0, maximum=1.0),
        read_rate=pool.number("read_rate", 14_000.0, minimum=1.0, maximum=1e9),
    )
    streams = [_read_stream(table) for table in root.tables("stream")]
    if not streams:
        root.add_problem(
            "stream", "nothing", "one [[stream]] or more", "add a kind of run"
        )
    scenario = Scenario(
        engines=pool.integer("engines", 5, minimum=1, maximum=1000),
        engine_parameters=engine_parameters,
        seconds=root.number("seconds", 30.0, minimum=1.0, maximum=3600.0),
        workspaces=root.integer("workspaces", 10, minimum=1, maximum=10_000),
        streams=tuple(streams),
        outages=tuple(_read_outage(table) for table in root.tables("outage")),
    )
    pool.reject_unknown_keys()
    root.reject_unknown_keys()
    return scenario


def _read_stream(table: Table) -> Stream:
    bursts = tuple(_read_burst(found) for found in table.tables("burst"))
    stream = Stream(
        name=table.name("name"),
        rate=table.number("rate", None, minimum=0.001, maximum=100_000.0),
        rank=table.integer("rank", 0, minimum=0, maximum=9),
        prompt=table.integer("prompt", None, minimum=1, maximum=10_000_000),
        output=table.integer("output", None, minimum=1, maximum=10_000_000),
        target=table.number("target", None, minimum=0.01, maximum=600.0),
        patience=table.number("patience", None, minimum=0.01, maximum=3600.0),
        silence=table.number("silence", 3600.0, minimum=0.01, maximum=3600.0),
        bursts=bursts,
    )
    table.reject_unknown_keys()
    return stream


def _read_burst(table: Table) -> Burst:
    burst = Burst(
        start=table.number("start", None, minimum=0.0, maximum=3600.0),
        end=table.number("end", None, minimum=0.0, maximum=3600.0),
        factor=table.number("factor", None, minimum=0.0, maximum=1000.0),
    )
    table.reject_unknown_keys()
    return burst


def _read_outage(table: Table) -> Outage:
    outage = Outage(
        at=table.number("at", None, minimum=0.0, maximum=3600.0),
        engines=table.integer("engines", None, minimum=1, maximum=1000),
        back_at=table.number("back_at", None, minimum=0.0, maximum=7200.0),
    )
    table.reject_unknown_keys()
    return outage
