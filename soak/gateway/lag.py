"""How long the soak's own process stood still.

It holds the stand-ins of the store and of all upstreams, the links and the callers, so
while it is held up nothing that the gateways send is answered.
"""

import asyncio
import time

TICK_SECONDS = 0.05
HELD_UP_SECONDS = 0.3
"""A tick that comes so late counts; gateways give an owner's word up after 0.04 s and a
request after 2 s."""


class Lag:
    """Watches the loop that it runs on.

    :param held_up: each time, when it ended (monotonic) and how long it was.
    """

    def __init__(self) -> None:
        self.held_up: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Watch for ever."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            late = now - began - TICK_SECONDS
            if late > HELD_UP_SECONDS:
                self.held_up.append((now, late))

    def __str__(self) -> str:
        longest = max((seconds for _, seconds in self.held_up), default=0.0)
        return f"held up itself {len(self.held_up)} times, {longest:.2f} s at most"
