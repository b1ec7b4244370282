"""Decides which engines may get the copy of a run whose engine shuts down.

Answers engines that leave within a second or two while they run many streams.  An
engine makes its copies one after another, and one between halls takes twice as long, so
the last runs of a full engine would end with it.
"""

import typing as t


def avoided_by_round(
    hall_by_engine: t.Mapping[str, str], *, hall: str
) -> list[set[str]]:
    """Engines to avoid in each round of the search for an engine with room.

    :param hall: hall of the engine that shuts down; its own engines come first.
    """
    far = {engine for engine, other in hall_by_engine.items() if other != hall}
    return [far, set()] if far else [set()]
