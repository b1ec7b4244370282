"""Plots of experiments; the only module that requires matplotlib."""

import statistics
import typing as t

import matplotlib

from bankrack.lab.bench import grouped
from bankrack.lab.bench import Row

matplotlib.use("Agg")

PANELS = (
    ("preemptions", "preemptions per request"),
    ("stall", "stall per request (s)"),
    ("first_stall", "first-priority stall (s)"),
    ("first_p99_gap", "first-priority p99 gap (s)"),
    ("tokens_per_second", "tokens per second"),
    ("refused", "fraction refused"),
)


def draw(rows: t.Sequence[Row], path: str) -> None:
    """Draw the medians and ranges of each measure in a panel of an SVG file."""
    from matplotlib import pyplot  # Must be imported after the backend is selected.

    groups = grouped(rows)
    figure, axes = pyplot.subplots(2, 3, figsize=(15, 9))
    for axis, (name, title) in zip(axes.flat, PANELS, strict=True):
        labels = [f"{k[3]} @{k[2]:g}" for k in groups]
        values = [[getattr(row, name) for row in group] for group in groups.values()]
        medians = [statistics.median(v) for v in values]
        low = [m - min(v) for m, v in zip(medians, values, strict=True)]
        high = [max(v) - m for m, v in zip(medians, values, strict=True)]
        axis.barh(labels, medians, xerr=[low, high], color="#4477aa", ecolor="#555555")
        axis.set_title(title)
        axis.invert_yaxis()
        axis.tick_params(axis="y", labelsize=7)
    figure.tight_layout()
    figure.savefig(path)
