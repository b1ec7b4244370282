"""A node is stopped while the store is silent, and callers use their kept channels.

Each caller opens a channel to one node, gets an answer there, lets the channel rest
and then sends one more request on it.  With TROUBLE=0 the node is not stopped and the
store answers.
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

CHANNELS = 40
FIRST_SEND_SECONDS = 2.0
"""From SIGTERM to the first use of a kept channel."""
STEP_SECONDS = 0.12
"""Between the uses of two channels; a request takes 0.09 s at its server."""
SILENCE_BEGINS_SECONDS = 2.0
"""From SIGTERM to the store's silence."""
SILENCE_SECONDS = 4.5
LOSS_SLACK_SECONDS = 0.2
TIMEOUT_SECONDS = 1.5
"""The route's timeoutMs; the time budget of the callers is 3 s."""
EXIT_SECONDS = deployment.GRACE_SECONDS + 1.0


async def use_channel(node, number, sends_at, record, is_open):
    """Use one channel twice; returns what became of the second request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
    headers = deployment.request_headers(f"first-{number:02d}")
    writer.write(deployment.encode_head("GET", "/again/a", headers))
    response = await deployment.read_response(reader)
    if response is None or response[0] != 200:
        raise deployment.NotReady(f"the first request of a channel got {response}")
    is_open.set()
    await asyncio.sleep(max(0.0, (await sends_at) - time.monotonic()))
    request_id = f"kept-{number:02d}"
    headers = deployment.request_headers(request_id)
    headers.append(("Content-Length", "2"))
    status, end = None, "the channel is closed"
    began = time.monotonic()
    try:
        if reader.at_eof():
            raise ConnectionResetError("the channel was closed before it was used")
        record.write(f"{request_id} is sent whole on its kept channel")
        writer.write(deployment.encode_head("POST", "/once/a", headers) + b"hi")
        await writer.drain()
        async with asyncio.timeout(10):
            line = await reader.readline()
        if line:
            status = int(line.split()[1])
    except ConnectionError as error:
        end = f"the channel is reset ({error})"
    except asyncio.TimeoutError:
        end = "nothing happened for 10 s"
    took = time.monotonic() - began
    writer.close()
    what = f"answer {status}" if status is not None else f"no answer, {end}"
    record.write(f"{request_id} {what} after {took:.3f} s")
    return request_id, began, took, status, end


async def stop_node(d, node, record):
    """Stop a node as the platform does, while the store falls silent."""
    began = time.monotonic()
    record.write(f"SIGTERM to {node.name}")
    node.signal(signal.SIGTERM)
    await asyncio.sleep(SILENCE_BEGINS_SECONDS)
    record.write("the store falls silent")
    d.store.silent_until = time.monotonic() + SILENCE_SECONDS
    while node.process.poll() is None:
        if time.monotonic() > began + deployment.GRACE_SECONDS:
            record.write(f"SIGKILL to {node.name}")
            node.signal(signal.SIGKILL)
            break
        await asyncio.sleep(0.01)
    record.write(f"{node.name} has ended")


async def run(record):
    trouble = os.environ.get("TROUBLE") != "0"
    async with deployment.Deployment(record) as d:
        node = d.nodes[0]
        await asyncio.sleep(4)
        loop = asyncio.get_running_loop()
        starts = [loop.create_future() for _ in range(CHANNELS)]
        opened = [asyncio.Event() for _ in range(CHANNELS)]
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(use_channel(node, n, starts[n], record, opened[n]))
                for n in range(CHANNELS)
            ]
            for event in opened:
                await event.wait()
            began = time.monotonic()
            for number, start in enumerate(starts):
                sends_at = began + FIRST_SEND_SECONDS + number * STEP_SECONDS
                start.set_result(sends_at)
            if trouble:
                group.create_task(stop_node(d, node, record))
        runs = {request_id for server in d.servers for request_id in server.runs}
    lost = 0
    for request_id, sent_at, took, status, end in (task.result() for task in tasks):
        if status is not None or end != "the channel is closed":
            # Answered; or reset, which may mean that it was not read.
            continue
        if took >= TIMEOUT_SECONDS or sent_at + took > began + EXIT_SECONDS:
            continue
        if took > LOSS_SLACK_SECONDS or request_id in runs:
            lost += 1
            record.write(f"LOST {request_id}: channel closed {took:.3f} s after it")
    record.verdict(f"{lost} of {CHANNELS} requests were read and never answered")
    return 1 if lost else 0


def main():
    record = deployment.Record(HERE / "record.txt")
    try:
        return asyncio.run(run(record))
    except* Exception as error:
        record.verdict(f"the case could not run: {error.exceptions}")
    return 2


if __name__ == "__main__":
    sys.exit(main())
