"""Cost of fingerprinting requests and of the register of crashed upstreams.

``python -m benchmarks.crashes``
"""

import tracemalloc

import msgspec

from bankrack.decisions.poison import Crash
from bankrack.fleet.documents import Quarantine
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.crashregister import MAX_HISTORIES
from bankrack.serving.fingerprint import fingerprint
from bankrack.serving.job import Job
from bankrack.serving.servedtraits import MAX_SERVED
from benchmarks.timing import median_microseconds

ROUNDS = 2000
SCANS = 20
BODY_BYTES = (100, 4_000, 100_000)
PARTS = 6
SUSPECTS = 6
"""Requests of one node that are suspects of one crash."""


def make_job(size: int) -> Job:
    """Return a request with a body of ``size`` bytes."""
    body = b"x" * size
    return Job("r", "POST", "h", "/talk/x", [], body, "key", 0.0, None)


def full_register() -> CrashRegister:
    """Return a register at its maximum size, with two crashes for each request."""
    register = CrashRegister()
    for number in range(MAX_HISTORIES):
        for upstream in (f"i-{number:010x}", f"i-{number:09x}b"):
            crash = Crash(upstream, "1", early=True)
            register.take(f"{number:024x}", [crash], source="n")
    for number in range(MAX_SERVED):
        register.note_served(f"s{number:023x}", "1")
    return register


def main() -> None:
    """Run the benchmark and print its results."""
    for size in BODY_BYTES:
        job = make_job(size)
        spent = median_microseconds(
            lambda job=job: fingerprint(job, "tutors"), rounds=ROUNDS
        )
        print(f"fingerprint of a request with {size} bytes: {spent:.1f} us")
    tracemalloc.start()
    register = full_register()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"full register: {used / 1e6:.1f} MB")
    known, other = f"{7:024x}", "f" * 24
    for name, one in (("in quarantine", known), ("unknown", other)):
        spent = median_microseconds(
            lambda one=one: register.may_run_on(one, "1"), rounds=ROUNDS
        )
        print(f"check before a send, {name}: {spent:.1f} us")
    parts = [f"part-{number:08x}" for number in range(PARTS)]
    spent = median_microseconds(
        lambda: register.may_run_on(other, "1", parts=parts), rounds=ROUNDS
    )
    print(f"check before a send, {PARTS} unknown parts: {spent:.1f} us")
    for part in parts:
        for upstream in ("i-1", "i-2"):
            crash = Crash(upstream, "1", early=True, request=f"r-{upstream}")
            register.take(part, [crash], source="n")
    spent = median_microseconds(
        lambda: register.may_run_on(other, "1", parts=parts), rounds=ROUNDS
    )
    print(f"check before a send, {PARTS} blamed parts: {spent:.1f} us")
    spent = median_microseconds(lambda: register.note_served(other, "1"), rounds=ROUNDS)
    print(f"recording a served request: {spent:.1f} us")
    for name, scan in (
        ("state dump", register.quarantined),
        ("periodic scan", register.unsaved),
    ):
        spent = median_microseconds(scan, rounds=SCANS)
        print(f"{name}, all requests in quarantine: {spent:.1f} us")
    message = [
        Quarantine(f"{n:024x}", [Crash(f"i-{n:010x}", "1", early=True)])
        for n in range(SUSPECTS)
    ]
    print(
        f"message with {SUSPECTS} suspects: "
        f"{len(msgspec.msgpack.encode(message))} bytes"
    )


if __name__ == "__main__":
    main()
