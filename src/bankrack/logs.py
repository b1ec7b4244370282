"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import sys
import typing as t

_QUOTED = frozenset(' "=\n\r\t')


def configure(level: str = "INFO") -> None:
    """Send all events at or above ``level`` to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("time=%(asctime)s level=%(levelname)s %(message)s")
    )
    root = logging.getLogger("bankrack")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def event(
    logger: logging.Logger, name: str, *, level: int = logging.INFO, **fields: t.Any
) -> None:
    """Write one event.

    :param name: the event's name, in snake case.
    :param fields: further pairs; ``None`` values are left out.
    """
    if not logger.isEnabledFor(level):
        return
    pairs = [f"event={name}"]
    pairs += [f"{k}={_quote(v)}" for k, v in fields.items() if v is not None]
    logger.log(level, "%s", " ".join(pairs))


def _quote(value: t.Any) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or not _QUOTED.isdisjoint(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
        return f'"{escaped}"'
    return text
