"""Three machines of a hall lose power, and routes are dropped in the seconds after.

The fourth machine of the hall runs undisturbed and reaches the store all the time.
Callers use each route on it until they learn that it is gone.  With TROUBLE=0
no machine loses power, and the routes are dropped all the same.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment

ZONES = ["hall-a", "hall-a", "hall-a", "hall-a", "hall-b", "hall-c"]
CALLED_SECONDS = 13.0
CHANGES = 24
CHANGE_GAP_SECONDS = 0.33
FIRST_CHANGE_SECONDS = 2.2
"""From the loss of the machines to the first change."""
APPLY_SECONDS = 2.0
REQUEST_GAP_SECONDS = 0.1
CONTACT_SECONDS = 3.0


def without_routes(configuration, dropped):
    """Return a configuration with the routes r0, r1, ... but those below ``dropped``."""
    once = configuration["routes"][0]
    routes = [
        once | {"name": f"r{n}", "pathPrefix": f"/r{n}/"}
        for n in range(dropped, CHANGES)
    ]
    version = 5 + 2 * dropped
    return configuration | {
        "configVersion": version,
        "routes": [*configuration["routes"], *routes],
    }


async def keep_calling(node, number, results, record, until):
    """Call a route again and again; records when each request was sent."""
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"r{number:02d}-{count:04d}"
        sent_at = time.monotonic()
        try:
            status, _, _ = await deployment.call(
                node.front,
                "POST",
                f"/r{number}/a",
                deployment.request_headers(request_id),
                b"hi",
            )
        except (OSError, asyncio.TimeoutError) as error:
            status = repr(error)
        record.write(f"{request_id} answer {status}")
        results.append((number, request_id, sent_at, status))
        if status == 404:
            # The caller has learned that the route is gone.
            return
        await asyncio.sleep(REQUEST_GAP_SECONDS)


async def drop_routes(d, record, acked_at):
    configuration = d.configuration()
    for number in range(CHANGES):
        d.store.put("op/config", without_routes(configuration, number + 1))
        acked_at[number] = time.monotonic()
        record.write(f"acked: the route r{number} is dropped")
        await asyncio.sleep(CHANGE_GAP_SECONDS)


async def run(record):
    async with deployment.Deployment(record, zones=ZONES) as d:
        node, others = d.nodes[3], d.nodes[:3]
        await asyncio.sleep(2)
        d.store.put("op/config", without_routes(d.configuration(), 0))
        await asyncio.sleep(CONTACT_SECONDS + 1)
        results, acked_at = [], {}
        until = time.monotonic() + CALLED_SECONDS
        if os.environ.get("TROUBLE") != "0":
            # A machine without power says nothing: no answer and no reset.
            record.write("without power: " + ", ".join(n.name for n in others))
            for other in others:
                other.signal(signal.SIGSTOP)
        async with asyncio.TaskGroup() as group:
            for number in range(CHANGES):
                group.create_task(keep_calling(node, number, results, record, until))
            await asyncio.sleep(FIRST_CHANGE_SECONDS)
            await drop_routes(d, record, acked_at)
    runs = {request_id for server in d.servers for request_id in server.runs}
    broken = 0
    for number, request_id, sent_at, status in results:
        late = sent_at - acked_at[number]
        if late > APPLY_SECONDS and request_id in runs:
            broken += 1
            record.write(
                f"CONFIG {request_id}: sent to {node.name} {late:.3f} s after the "
                f"route was dropped, and run (answer {status})"
            )
    record.verdict(
        f"{broken} requests were sent more than {APPLY_SECONDS:g} s after their route "
        "was dropped, and run"
    )
    return 1 if broken else 0


def main():
    record = deployment.Record(HERE / "record.txt")
    try:
        return asyncio.run(run(record))
    except* Exception as error:
        record.verdict(f"the case could not run: {error.exceptions}")
    return 2


if __name__ == "__main__":
    sys.exit(main())
