"""Logs and counts what nodes send each other to replicate the view."""

import logging
import typing as t

from bankrack import logs

MIN_LOGGED_BYTES = 16 * 1024
"""Smaller transfers that succeed are only counted."""

_logger = logging.getLogger(__name__)


class TransferObserver(t.Protocol):
    """Receives the figures of a transfer for the metrics."""

    def __call__(self, direction: str, outcome: str, size: int, seconds: float) -> None:
        """Take the figures; ``size`` in bytes."""
        ...


def ignore_transfer(direction: str, outcome: str, size: int, seconds: float) -> None:
    """Observe nothing."""


class TransferLog:
    """Records transfers between this node and others.

    :param observe: receives each transfer.
    """

    def __init__(self, observe: TransferObserver = ignore_transfer) -> None:
        self._observe = observe

    def note_sent(self, kind: str, size: int, *, to: str) -> None:
        """Record a message that was handed to the connection.

        :param kind: of the message, for the log.
        :param size: in bytes.
        :param to: address of the node that requested it; empty if unknown.
        """
        self._observe("sent", "ok", size, 0.0)
        if size >= MIN_LOGGED_BYTES:
            logs.event(_logger, "transfer_sent", kind=kind, bytes=size, to=to or None)

    def note_received(
        self, kind: str, size: int, *, source: str, seconds: float, error: str = ""
    ) -> None:
        """Record a response, or what arrived of it until it failed.

        :param size: bytes that arrived.
        :param seconds: since the request was sent.
        :param error: why the response is not complete; empty if it is.
        """
        self._observe("received", "failed" if error else "ok", size, seconds)
        if error or size >= MIN_LOGGED_BYTES:
            logs.event(
                _logger,
                "transfer_received",
                kind=kind,
                bytes=size,
                source=source,
                elapsed=seconds,
                error=error or None,
            )
