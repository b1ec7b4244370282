"""Online estimates of output lengths, by service and workspace.

Each has a logarithmic histogram of the lengths of finished runs, whose counts
are halved from time to time so that old lengths lose weight.  Few observations
are blended with the service's histogram, or with a wide prior.  Forecasts use
the survival function: the probability of a length above a number of tokens.
"""

import collections
import math
import typing as t

BINS_PER_DOUBLING = 4
BINS = 72
MAX_TOTAL_COUNT = 600.0
"""Total above which all counts of a histogram are halved."""
OBSERVATIONS_PER_REBUILD = 8
PRIOR_MEDIAN = 128.0
PRIOR_SIGMA = 1.3
PRIOR_WEIGHT = 6.0
"""Weight of the prior in a service's histogram, in observations."""
SERVICE_WEIGHT = 24.0
"""Weight of the service in a workspace's histogram, in observations."""
MAX_HISTOGRAMS = 4096


class Survival(t.Protocol):
    """The survival function of an output length."""

    def survival(self, tokens: int) -> float:
        """Return the probability of more than ``tokens`` tokens."""
        ...

    def survivals(self, start: int, steps: t.Sequence[int]) -> list[float]:
        """Return the survival at ``start`` plus each step."""
        ...


class KnownLength:
    """The survival function of a known length."""

    __slots__ = ("_length",)

    def __init__(self, length: int) -> None:
        self._length = length

    def survival(self, tokens: int) -> float:
        """Return 1 if the length is above ``tokens``, else 0."""
        return 1.0 if tokens < self._length else 0.0

    def survivals(self, start: int, steps: t.Sequence[int]) -> list[float]:
        """Return the survival, 0 or 1, at ``start`` plus each step."""
        return [self.survival(start + step) for step in steps]


class LengthHistogram:
    """Recent lengths, blended with a parent's while they are few.

    :param parent: histogram to blend with; the wide prior if ``None``.
    """

    __slots__ = ("_counts", "_observed_since_rebuild", "_parent", "_tail", "total")

    def __init__(self, parent: "LengthHistogram | None" = None) -> None:
        self._counts = [0.0] * BINS
        self._parent = parent
        self._observed_since_rebuild = 0
        self.total = 0.0
        self._tail: list[float] = []
        self._rebuild()

    def observe(self, length: int) -> None:
        """Count one finished run of ``length`` tokens."""
        self._counts[_bin(length)] += 1.0
        self.total += 1.0
        if self.total > MAX_TOTAL_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self.total /= 2
        self._observed_since_rebuild += 1
        if self._observed_since_rebuild >= OBSERVATIONS_PER_REBUILD:
            self._rebuild()

    def survival(self, tokens: int) -> float:
        """Return the probability of more than ``tokens`` tokens."""
        if tokens <= 0:
            return 1.0
        position = math.log2(tokens + 1) * BINS_PER_DOUBLING
        index = int(position)
        if index >= BINS:
            return 0.0
        low = self._tail[index]
        return low + (position - index) * (self._tail[index + 1] - low)

    def survivals(self, start: int, steps: t.Sequence[int]) -> list[float]:
        """Return the survival at ``start`` plus each step.

        Equivalent to calls of :meth:`survival`, but faster.
        """
        tail = self._tail
        log2 = math.log2
        found = []
        for step in steps:
            position = log2(start + step + 1) * BINS_PER_DOUBLING
            index = int(position)
            if index >= BINS:
                found.append(0.0)
                continue
            low = tail[index]
            found.append(low + (position - index) * (tail[index + 1] - low))
        if start <= 0 and steps[0] == 0:
            found[0] = 1.0
        return found

    def _rebuild(self) -> None:
        """Compute the survival function from the counts and the parent's."""
        weight = SERVICE_WEIGHT if self._parent is not None else PRIOR_WEIGHT
        base = self._parent._tail if self._parent is not None else _PRIOR_TAIL
        total = self.total + weight
        tail = [0.0] * (BINS + 1)
        above = 0.0
        for index in range(BINS - 1, -1, -1):
            above += self._counts[index]
            tail[index] = (above + weight * base[index]) / total
        self._tail = tail
        self._observed_since_rebuild = 0


class Lengths:
    """The histograms of all services and of the most recent workspaces."""

    def __init__(self) -> None:
        self.by_service: dict[str, LengthHistogram] = {}
        self.by_service_and_workspace: collections.OrderedDict[
            tuple[str, str], LengthHistogram
        ] = collections.OrderedDict()

    def observe(self, service: str, workspace: str, length: int) -> None:
        """Count one finished run of ``length`` tokens."""
        self._service(service).observe(length)
        self._workspace(service, workspace).observe(length)

    def survival_of(self, service: str, workspace: str) -> LengthHistogram:
        """Return the workspace's histogram, or the service's if it has none."""
        own = self.by_service_and_workspace.get((service, workspace))
        return own if own is not None else self._service(service)

    def _service(self, service: str) -> LengthHistogram:
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = LengthHistogram()
        return found

    def _workspace(self, service: str, workspace: str) -> LengthHistogram:
        key = (service, workspace)
        found = self.by_service_and_workspace.get(key)
        if found is None:
            found = LengthHistogram(self._service(service))
            self.by_service_and_workspace[key] = found
        self.by_service_and_workspace.move_to_end(key)
        if len(self.by_service_and_workspace) > MAX_HISTOGRAMS:
            self.by_service_and_workspace.popitem(last=False)
        return found


def _bin(length: int) -> int:
    index = int(math.log2(max(1, length)) * BINS_PER_DOUBLING)
    return min(BINS - 1, index)


def _prior_tail() -> list[float]:
    """Return the survival function of the lognormal prior at the bin edges."""
    tail = []
    for index in range(BINS + 1):
        edge = 2 ** (index / BINS_PER_DOUBLING)
        z = (math.log(edge) - math.log(PRIOR_MEDIAN)) / PRIOR_SIGMA
        tail.append(0.5 * math.erfc(z / math.sqrt(2)))
    return tail


_PRIOR_TAIL = _prior_tail()
