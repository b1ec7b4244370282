"""Load reports of engines."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an engine reports; it may lag behind the actual load.

    :param memory_share: fraction of the engine's memory in use, 0 to 1.
    """

    running: int
    waiting: int
    memory_share: float
    preemptions: int


def parse_report(text: str) -> LoadReport:
    """Parse the metrics that engines publish in the Prometheus text format.

    :raises ValueError: if a value is missing, which would look like no load.
    """
    values_by_name: dict[str, float] = {}
    for line in text.splitlines():
        name, _, value = line.partition(" ")
        if name.startswith("vllm:"):
            values_by_name[name.partition("{")[0]] = float(value)
    try:
        return LoadReport(
            running=int(values_by_name["vllm:num_requests_running"]),
            waiting=int(values_by_name["vllm:num_requests_waiting"]),
            memory_share=values_by_name["vllm:kv_cache_usage_perc"],
            preemptions=int(values_by_name["vllm:num_preemptions_total"]),
        )
    except KeyError as error:
        raise ValueError(f"the report lacks {error}") from error
