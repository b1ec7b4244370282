"""Starting and measuring processes on loopback."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

START_SECONDS = 30.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class CpuTimes(t.NamedTuple):
    """Processor time in user and system mode, in seconds."""

    user: float
    system: float


class Process:
    """One process that this program started."""

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
        """Its id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether it runs, frozen or not."""
        return self._popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this one process."""
        if self.alive:
            self._popen.send_signal(number)

    def stop(self) -> None:
        """End it at once."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.kill()
        self._popen.wait()

    def wait(self, seconds: float) -> int | None:
        """Wait for its end; ``None`` if it still runs."""
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def cpu_seconds(self) -> float:
        """Processor time used so far, in user and system mode."""
        return sum(self.cpu_times())

    def cpu_times(self) -> CpuTimes:
        """Processor time used so far, in seconds."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        user, system = int(fields[11]), int(fields[12])
        return CpuTimes(user / TICKS_PER_SECOND, system / TICKS_PER_SECOND)

    def memory_bytes(self) -> int:
        """Resident memory."""
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


def wait_until_listening(address: str) -> None:
    """Wait until something accepts connections at ``address``."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port))):
            return
        time.sleep(0.05)
    raise TimeoutError(f"nothing listens at {address}")
