"""Starts processes on the loopback interface and measures their resource usage."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

START_TIMEOUT_SECONDS = 30.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class CpuTimes(t.NamedTuple):
    """Processor time in user and system mode, in seconds."""

    user: float
    system: float


class Process:
    """A child process that runs the Python interpreter.

    :param arguments: command line arguments of the interpreter.
    :param log: file to which its output is appended; empty discards it.
    """

    def __init__(self, name: str, arguments: t.Sequence[str], *, log: str = "") -> None:
        self.name = name
        output = open(log, "ab") if log else subprocess.DEVNULL  # noqa: SIM115
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether it is running or suspended."""
        return self._popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is alive."""
        if self.alive:
            self._popen.send_signal(number)

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.kill()
        self._popen.wait()

    def wait(self, seconds: float) -> int | None:
        """Wait for its end and return the exit code.

        :param seconds: timeout.
        :return: ``None`` if it still runs.
        """
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def cpu_seconds(self) -> float:
        """Total processor time used so far, in seconds."""
        return sum(self.cpu_times())

    def cpu_times(self) -> CpuTimes:
        """Processor time used so far, by mode."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        return CpuTimes(user / TICKS_PER_SECOND, system / TICKS_PER_SECOND)

    def memory_bytes(self) -> int:
        """Resident memory; 0 if unknown."""
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


def wait_until_listening(address: str) -> None:
    """Wait until a process accepts connections at ``address``.

    :raise TimeoutError: none does within ``START_TIMEOUT_SECONDS``.
    """
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port))):
            return
        time.sleep(0.05)
    raise TimeoutError(
        f"{address} accepted no connection within {START_TIMEOUT_SECONDS} s"
    )
