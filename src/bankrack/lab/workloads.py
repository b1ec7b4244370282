"""Synthetic workloads, drawn from a seed."""

import dataclasses
import math
import random
import typing as t


@dataclasses.dataclass(slots=True, frozen=True)
class Lengths:
    """Lognormal distribution of token counts, clipped to a range."""

    median: float
    sigma: float
    minimum: int
    maximum: int

    def draw(self, rng: random.Random) -> int:
        """Draw one length."""
        value = rng.lognormvariate(math.log(self.median), self.sigma)
        return min(self.maximum, max(self.minimum, round(value)))


@dataclasses.dataclass(slots=True, frozen=True)
class RequestKind:
    """Parameters of one kind of request.

    :param share: fraction of all requests.
    :param queue_seconds: longest wait for the first token, in seconds.
    :param prefixes: number of distinct prompt prefixes.
    :param prefix_tokens: length of each prefix, in tokens.
    """

    service: str
    priority: int
    share: float
    prompts: Lengths
    outputs: Lengths
    max_tokens: int
    queue_seconds: float
    prefixes: int = 0
    prefix_tokens: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """Kinds of requests, and the variation of their rate.

    :param burst: factor on the request rate during bursts.
    :param burst_every: seconds between the starts of bursts.
    :param drift: factor on the response length in the second half.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    burst: float = 1.0
    burst_every: float = 60.0
    burst_seconds: float = 10.0
    drift: float = 1.0
    workspaces: int = 10


DERWENT = Workload(
    "derwent",
    (
        RequestKind(
            "captions",
            0,
            0.6,
            Lengths(160, 0.4, 20, 1000),
            Lengths(90, 0.6, 4, 600),
            1024,
            5.0,
            prefixes=12,
            prefix_tokens=100,
        ),
        RequestKind(
            "summaries",
            1,
            0.4,
            Lengths(1800, 0.7, 100, 9000),
            Lengths(320, 0.9, 10, 4000),
            4096,
            60.0,
        ),
    ),
    burst=2.0,
)
LETTERWERF = Workload(
    "letterwerf",
    (
        RequestKind(
            "licence",
            0,
            0.5,
            Lengths(500, 0.5, 50, 3000),
            Lengths(24, 0.7, 1, 300),
            512,
            5.0,
            prefixes=6,
            prefix_tokens=350,
        ),
        RequestKind(
            "specimen",
            1,
            0.5,
            Lengths(700, 0.8, 50, 6000),
            Lengths(420, 1.1, 10, 6000),
            8192,
            60.0,
        ),
    ),
    burst=3.0,
    burst_every=30.0,
    burst_seconds=4.0,
)
DRIFT = dataclasses.replace(DERWENT, name="drift", drift=2.5)
WORKLOADS_BY_NAME = {w.name: w for w in (DERWENT, LETTERWERF, DRIFT)}


@dataclasses.dataclass(slots=True, frozen=True)
class Phase:
    """Multiplies the rate by ``factor`` from ``start`` on, in seconds."""

    start: float
    factor: float


class Arrival:
    """One request of a workload.

    :param at: arrival time in seconds from the start.
    """

    __slots__ = ("at", "kind", "length", "node", "prefix", "prompt_tokens", "workspace")

    def __init__(self, at: float, kind: RequestKind) -> None:
        self.at = at
        self.kind = kind
        self.prompt_tokens = 0
        self.length = 0
        self.workspace = ""
        self.prefix = ""
        self.node = 0


def arrivals(
    workload: Workload,
    *,
    rate: float,
    seconds: float,
    seed: int,
    nodes: int = 1,
    phases: tuple[Phase, ...] = (),
) -> t.Iterator[Arrival]:
    """Yield the requests of one run in order of arrival.

    :param rate: mean requests per second, bursts included.
    """
    rng = random.Random(seed)
    base_rate = _rate_outside_bursts(workload, rate)
    weights = [kind.share for kind in workload.kinds]
    at = 0.0
    while True:
        phase_factor = 1.0
        in_burst = at % workload.burst_every < workload.burst_seconds
        factor = workload.burst if in_burst else 1.0
        for phase in phases:
            if at >= phase.start:
                phase_factor = phase.factor
        at += rng.expovariate(base_rate * factor * phase_factor)
        if at >= seconds:
            return
        kind = rng.choices(workload.kinds, weights)[0]
        arrival = Arrival(at, kind)
        arrival.prompt_tokens = kind.prompts.draw(rng)
        length = kind.outputs.draw(rng)
        if at > seconds / 2:
            length = round(length * workload.drift)
        arrival.length = max(1, min(kind.max_tokens, length))
        # The square skews the load towards workspaces with low numbers.
        number = int(workload.workspaces * rng.random() ** 2)
        arrival.workspace = f"workspace-{number}"
        if kind.prefixes:
            arrival.prefix = f"{kind.service}-{rng.randrange(kind.prefixes)}"
        arrival.node = rng.randrange(nodes)
        yield arrival


def _rate_outside_bursts(workload: Workload, rate: float) -> float:
    share = workload.burst_seconds / workload.burst_every
    return rate / (1 + share * (workload.burst - 1))
