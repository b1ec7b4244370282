"""Decides who may still take file descriptors when they become scarce.

A process that has none left accepts no connection, neither of callers nor of whoever
checks its readiness, and those who connect wait without an answer.
"""

import enum


class Use(enum.Enum):
    """What a connection is for; its value is the share of the descriptors in use from
    which on no more of them are opened.

    Connections that a request needs once it was accepted have no such bound.
    """

    TUNNEL = 0.75
    CALLER = 0.875


def leaves_room(descriptor: int, limit: int, use: Use) -> bool:
    """Return whether a connection leaves descriptors to more important ones.

    :param descriptor: the connection's own. The system assigns the lowest free number,
        so at least as many are in use.
    :param limit: of the process's descriptors.
    """
    return descriptor < use.value * limit
