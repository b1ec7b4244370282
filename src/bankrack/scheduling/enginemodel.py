"""Model of an engine with continuous batching and bounded memory.

Used by the engine stand-in in real time and by the experiments in virtual
time.  Memory is counted in tokens and grows by one for each token produced.
When memory is full, the latest of the running sequences with the lowest
priority is preempted: its memory is freed and it is recomputed later.
"""

import collections
import typing as t


class EngineCosts:
    """Costs of one step, in seconds, and limits of the batch.

    :param base: cost of any step.
    :param per_sequence: added for each sequence that decodes.
    :param per_prompt_token: added for each prompt token computed.
    :param prompt_tokens_per_step: maximum of prompt tokens computed in a step.
    :param max_running: maximum of sequences in the batch.
    """

    __slots__ = (
        "base",
        "max_running",
        "per_prompt_token",
        "per_sequence",
        "prompt_tokens_per_step",
    )

    def __init__(
        self,
        *,
        base: float = 0.012,
        per_sequence: float = 0.0002,
        per_prompt_token: float = 0.00008,
        prompt_tokens_per_step: int = 2048,
        max_running: int = 128,
    ) -> None:
        self.base = base
        self.per_sequence = per_sequence
        self.per_prompt_token = per_prompt_token
        self.prompt_tokens_per_step = prompt_tokens_per_step
        self.max_running = max_running


class Sequence:
    """One run inside an engine.

    :param length: the number of tokens that it will produce.
    :param priority: 0 is the highest.
    :param prefix: name of a prompt prefix that other sequences may share.
    :param prefix_tokens: length of that prefix.
    :param token: the caller's reference to the run.
    """

    __slots__ = (
        "arrival",
        "cached",
        "length",
        "preemptions",
        "prefix",
        "prefix_tokens",
        "priority",
        "produced",
        "prompt_tokens",
        "to_compute",
        "token",
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        length: int,
        priority: int,
        prefix: str = "",
        prefix_tokens: int = 0,
        token: t.Any = None,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.length = length
        self.priority = priority
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.token = token
        self.produced = 0
        self.to_compute = prompt_tokens
        self.preemptions = 0
        self.arrival = 0
        self.cached = 0

    @property
    def memory(self) -> int:
        """Memory used while running, in tokens."""
        return self.prompt_tokens + self.produced


class Step:
    """The result of one step; ``duration`` is in seconds."""

    __slots__ = ("duration", "finished", "preempted", "produced")

    def __init__(self) -> None:
        self.duration = 0.0
        self.produced: list[Sequence] = []
        self.finished: list[Sequence] = []
        self.preempted: list[Sequence] = []


class EngineModel:
    """One engine's batch, queue, memory and prefix cache."""

    def __init__(self, memory_tokens: int, *, costs: EngineCosts | None = None) -> None:
        self.memory_tokens = memory_tokens
        self.costs = costs or EngineCosts()
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.used = 0
        self.preemptions = 0
        self.cached_tokens_by_prefix: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._arrivals = 0

    @property
    def idle(self) -> bool:
        """Whether no sequence runs or waits."""
        return not self.running and not self.waiting

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self._arrivals += 1
        sequence.arrival = self._arrivals
        self.waiting.append(sequence)

    def remove(self, sequence: Sequence) -> None:
        """Cancel a running or waiting sequence."""
        if sequence in self.running:
            self.running.remove(sequence)
            self.used -= sequence.memory
        elif sequence in self.waiting:
            self.waiting.remove(sequence)

    def step(self) -> Step:
        """Compute one step of the batch."""
        step = Step()
        self._start_waiting()
        computed = self._compute_prompts()
        decoding = [s for s in self.running if s.to_compute == 0]
        decoding = self._preempt(decoding, step)
        for sequence in decoding:
            sequence.produced += 1
            self.used += 1
        step.produced = decoding
        step.finished = [s for s in decoding if s.produced >= s.length]
        for sequence in step.finished:
            self._finish(sequence)
        costs = self.costs
        step.duration = costs.base + costs.per_sequence * len(decoding)
        step.duration += costs.per_prompt_token * computed
        return step

    def _start_waiting(self) -> None:
        if not self.waiting:
            return
        self.waiting.sort(key=lambda s: (s.priority, s.arrival))
        while self.waiting and len(self.running) < self.costs.max_running:
            sequence = self.waiting[0]
            if self.used + sequence.memory + 1 > self.memory_tokens:
                break
            self.waiting.pop(0)
            self.used += sequence.memory
            sequence.cached = self._cached_tokens(sequence)
            sequence.to_compute = max(1, sequence.memory - sequence.cached)
            self.running.append(sequence)

    def _compute_prompts(self) -> int:
        budget = self.costs.prompt_tokens_per_step
        computed = 0
        for sequence in self.running:
            part = min(sequence.to_compute, budget - computed)
            sequence.to_compute -= part
            computed += part
            if computed >= budget:
                break
        return computed

    def _preempt(self, decoding: list[Sequence], step: Step) -> list[Sequence]:
        while self.used + len(decoding) > self.memory_tokens and len(self.running) > 1:
            victim = max(self.running, key=lambda s: (s.priority, s.arrival))
            self.running.remove(victim)
            self.used -= victim.memory
            victim.preemptions += 1
            victim.to_compute = victim.memory
            self.preemptions += 1
            self.waiting.append(victim)
            step.preempted.append(victim)
            if victim in decoding:
                decoding.remove(victim)
        return decoding

    def _finish(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self.used -= sequence.memory
        if sequence.prefix:
            self._cache_prefix(sequence)

    def _cached_tokens(self, sequence: Sequence) -> int:
        cached = self.cached_tokens_by_prefix.get(sequence.prefix, 0)
        return min(cached, sequence.prompt_tokens - 1)

    def _cache_prefix(self, sequence: Sequence) -> None:
        """Cache the prefix; evict the least recently used to fit free memory."""
        self.cached_tokens_by_prefix[sequence.prefix] = sequence.prefix_tokens
        self.cached_tokens_by_prefix.move_to_end(sequence.prefix)
        free = self.memory_tokens - self.used
        while sum(self.cached_tokens_by_prefix.values()) > max(free, 0):
            self.cached_tokens_by_prefix.popitem(last=False)
