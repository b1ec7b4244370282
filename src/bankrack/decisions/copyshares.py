"""How long a copy of a run has to begin while other copies are left."""


def seconds_for_copy(left: float, *, copies: int, begin: float, limit: float) -> float:
    """Return the seconds after which the next copy is sent the run instead.

    All copies have the same time, if that is enough for them to begin.  A copy of a
    slow pool would be left before it begins, so there it has the whole limit.

    :param left: seconds until the caller gives up the stream.
    :param copies: number of copies that are left, with this one.
    :param begin: seconds in which copies of the pool begin, at most.
    :param limit: seconds after which a copy counts as failed.
    """
    share = left / copies
    return min(limit, share) if share > begin else limit
