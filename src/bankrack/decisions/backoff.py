"""Decides whether a stream waits out the backoff of the upstream with its only copy.

When an engine fails while the upstream with the copy asks nodes to back off, ending the
stream would lose it.  Waiting only pauses it, for as long as the caller accepts.
"""

RESUME_MARGIN_SECONDS = 0.5
"""Margin before the caller gives up, for resuming the stream from the copy."""


def should_wait_for_backoff(
    backoff_left: float, *, silence: float, max_silence: float, copy_kept: float
) -> bool:
    """Whether the stream can resume after the backoff, before the caller gives up.

    :param backoff_left: seconds until the upstream accepts requests again.
    :param silence: seconds since the caller last received an event.
    :param max_silence: seconds without an event after which the caller gives up.
    :param copy_kept: seconds for which the upstream still keeps the copy.
    """
    in_time = silence + backoff_left < max_silence - RESUME_MARGIN_SECONDS
    return 0.0 < backoff_left < copy_kept and in_time
