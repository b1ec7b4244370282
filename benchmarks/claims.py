"""Platform writes per second at several rates of claims.

``python -m benchmarks.claims --rates 10 100 1000``
"""

import argparse
import asyncio
import random
import time

from tests.fakes import testbed

from bankrack.exceptions import BankrackError
from bankrack.wire import requestkeys

STEP_SECONDS = 0.01


async def measure(rate: int, seconds: float) -> None:
    """Make claims through one node and print a row of results.

    :param rate: claims per second.
    """
    async with testbed(engines=0) as b:
        claims = b.nodes[0].claims
        platform = b.nodes[0].platform
        tasks = []
        refused = 0
        writes = platform.writes
        cpu = time.process_time()
        started = time.monotonic()
        made = 0
        while time.monotonic() - started < seconds:
            due = int((time.monotonic() - started) * rate)
            for _ in range(due - made):
                key = requestkeys.make(time.time(), random.getrandbits)
                claim = claims.claimer("north", key)
                tasks.append(asyncio.ensure_future(claim()))
            made = due
            await asyncio.sleep(STEP_SECONDS)
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            refused += isinstance(result, BankrackError)
        elapsed = time.monotonic() - started
        used = (time.process_time() - cpu) / max(1, made) * 1e6
        per_second = (platform.writes - writes) / elapsed
    print(f"| {made / elapsed:.0f} | {per_second:.1f} | {refused} | {used:.0f} |")


def main() -> None:
    """Measure each rate and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    print(
        "| claims/s | platform writes/s | refused | CPU us/claim, stand-in included |"
    )
    print("| --- | --- | --- | --- |")
    for rate in arguments.rates:
        asyncio.run(measure(rate, arguments.seconds))


if __name__ == "__main__":
    main()
