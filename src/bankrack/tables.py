"""Validation of TOML documents that reports all problems at once.

A :class:`Table` wraps one TOML table.  If a value is invalid, its readers record a
:class:`~bankrack.exceptions.Problem` and return a default, so that one pass over the
document finds all problems.
"""

import ipaddress
import re
import tomllib
import typing as t

from expression import Error
from expression import Ok
from expression import Result

from bankrack.exceptions import Problem

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")


def parse(text: str, source: str) -> Result["Table", list[Problem]]:
    """Parse TOML text into its root table."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = Problem(
            source,
            "(file)",
            found=str(error),
            expected="valid TOML",
            remedy="correct the syntax at that line",
        )
        return Error([problem])
    return Ok(Table(data, source=source))


class Table:
    """One table of a TOML document under validation."""

    __slots__ = ("_data", "_known_keys", "path", "problems", "source")

    def __init__(
        self,
        data: dict[str, t.Any],
        *,
        source: str,
        path: str = "",
        problems: list[Problem] | None = None,
    ) -> None:
        self._data = data
        self._known_keys: set[str] = set()
        self.path = path
        self.source = source
        self.problems: list[Problem] = [] if problems is None else problems

    def add_problem(self, key: str, found: t.Any, expected: str, remedy: str) -> None:
        """Record a problem with ``key`` of this table."""
        path = f"{self.path}.{key}" if self.path else key
        self.problems.append(
            Problem(
                self.source, path, found=repr(found), expected=expected, remedy=remedy
            )
        )

    def text(self, key: str, default: str | None = None) -> str:
        """Read a string; it is required if there is no default."""
        value = self._read(key, str, "a string", default)
        return t.cast(str, value) if value is not None else ""

    def name(self, key: str, default: str | None = None) -> str:
        """Read a name: lower case letters, digits, ``.``, ``_`` and ``-``."""
        value = self.text(key, default)
        if value and not NAME_PATTERN.match(value):
            self.add_problem(
                key, value, "lower case letters, digits, '.', '_', '-'", "rename it"
            )
        return value

    def choice(self, key: str, choices: t.Sequence[str], default: str) -> str:
        """Read one of a fixed set of strings."""
        value = self.text(key, default)
        if value not in choices:
            expected = "one of " + ", ".join(choices)
            self.add_problem(key, value, expected, "use one of the listed values")
            return default
        return value

    def flag(self, key: str, default: bool) -> bool:
        """Read a boolean."""
        value = self._read(key, bool, "true or false", default)
        return bool(value)

    def number(
        self, key: str, default: float | None, *, minimum: float, maximum: float
    ) -> float:
        """Read a number from ``minimum`` to ``maximum``, both inclusive."""
        value = self._read(key, (int, float), "a number", default)
        return self._bounded(key, value, minimum, maximum)

    def integer(
        self, key: str, default: int | None, *, minimum: int, maximum: int
    ) -> int:
        """Read an integer from ``minimum`` to ``maximum``, both inclusive."""
        value = self._read(key, int, "a whole number", default)
        return int(self._bounded(key, value, minimum, maximum))

    def address(self, key: str, default: str | None = None) -> str:
        """Read an ``ip:port`` address."""
        value = self.text(key, default)
        if value and not is_address(value):
            self.add_problem(
                key,
                value,
                "an IP address and port, as 10.0.0.1:8080",
                "use this format",
            )
        return value

    def names(self, key: str, default: t.Sequence[str] = ()) -> tuple[str, ...]:
        """Read a list of strings."""
        value = self._read(key, list, "a list of strings", list(default))
        if not all(isinstance(item, str) for item in value or []):
            self.add_problem(key, value, "a list of strings", "quote each item")
            return tuple(default)
        return tuple(value or [])

    def table(self, key: str) -> "Table":
        """Read a nested table; a missing one is read as empty."""
        value = self._read(key, dict, "a table", {})
        return self._nested(key, value)

    def tables(self, key: str) -> list["Table"]:
        """Read an array of tables; a missing one is read as empty."""
        value = self._read(key, list, "an array of tables", [])
        found = []
        for position, item in enumerate(value or []):
            path = f"{key}[{position}]"
            if isinstance(item, dict):
                found.append(self._nested(path, item))
            else:
                self.add_problem(path, item, "a table", f"write it under [[{key}]]")
        return found

    def strings(self, key: str) -> dict[str, str]:
        """Read a table whose values are all strings."""
        nested = self.table(key)
        return {name: nested.text(name) for name in nested._data}

    def reject_unknown_keys(self) -> None:
        """Record a problem for each key that was not read."""
        for key in self._data:
            if key not in self._known_keys:
                known = ", ".join(sorted(self._known_keys))
                self.add_problem(
                    key, "an unknown key", f"one of {known}", "remove or rename it"
                )

    def _nested(self, key: str, value: t.Any) -> "Table":
        path = f"{self.path}.{key}" if self.path else key
        return Table(value, source=self.source, path=path, problems=self.problems)

    def _read(self, key: str, kind: t.Any, expected: str, default: t.Any) -> t.Any:
        self._known_keys.add(key)
        if key not in self._data:
            if default is None:
                self.add_problem(key, None, expected, "add the key")
            return default
        value = self._data[key]
        is_wrong_bool = isinstance(value, bool) and kind is not bool
        if is_wrong_bool or not isinstance(value, kind):
            self.add_problem(key, value, expected, "correct the value")
            return default
        return value

    def _bounded(self, key: str, value: t.Any, minimum: float, maximum: float) -> float:
        if value is None:
            return minimum
        if not minimum <= value <= maximum:
            self.add_problem(
                key, value, f"between {minimum} and {maximum}", "choose one in range"
            )
            return minimum
        return t.cast(float, value)


def is_address(value: str) -> bool:
    """Return whether ``value`` is an IP address with a port."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def check_token_hash(table: Table, key: str, value: str) -> None:
    """Record a problem unless ``value`` is a SHA-256 digest in hexadecimal."""
    if len(value) != 64 or not all(c in "0123456789abcdef" for c in value):
        table.add_problem(
            key,
            "something else",
            "the SHA-256 of the token, 64 hexadecimal digits",
            "make it with 'bankrack hash-token'",
        )
