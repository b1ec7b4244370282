"""Processor time of single function calls."""

import time
import typing as t


def median_microseconds(call: t.Callable[[], t.Any], *, rounds: int) -> float:
    """Return the median processor time of a call.

    :param rounds: number of calls.
    """
    times = []
    for _ in range(rounds):
        began = time.process_time_ns()
        call()
        times.append(time.process_time_ns() - began)
    return sorted(times)[rounds // 2] / 1000
