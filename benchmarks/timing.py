"""Processor time of single calls."""

import time
import typing as t


def median_microseconds(call: t.Callable[[], t.Any], *, rounds: int) -> float:
    """Median processor time of a call, of so many."""
    times = []
    for _ in range(rounds):
        began = time.process_time_ns()
        call()
        times.append(time.process_time_ns() - began)
    return sorted(times)[rounds // 2] / 1000
