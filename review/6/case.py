"""All processes are killed and start again; channels opened meanwhile keep other limits. See claim.txt."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import Runner, Unable, config, read_message, route, run  # noqa: E402

MAX_HEADER_BYTES = 65_536
PARTS = 3_000            # of a prompt, in X-Prompt-Prefix
CONSUMERS = 24
RESTART_S = 0.5
STABLE_WINDOW_S = 3.0
ALLOWED = (5, 500)       # DENIED: more than 5 + one in 500 of all requests


class Channel:
    """A consumer that keeps its channel open for many requests."""

    def __init__(self, deployment, name):
        self.deployment, self.name, self.reader, self.writer, self.count = deployment, name, None, None, 0

    async def open(self, node):
        self.reader, self.writer = await asyncio.open_connection(node.ip, self.deployment.ports["front"])
        self.deployment.record("consumer", self.name, "opens a channel to", node.name)

    async def send(self, parts):
        """Returns the status, or 0 if the channel ended without an answer."""
        self.count += 1
        prefix = ",".join(f"{number:08x}:{random.randrange(1, 20)}" for number in range(parts))
        head = (f"POST /call/{self.count} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {self.name}-{self.count}\r\n"
                f"X-Deadline-Ms: 4000\r\nX-Token-Usage: 1000,100\r\nX-Prompt-Prefix: {prefix}\r\nContent-Length: 0\r\n\r\n")
        assert len(head) < MAX_HEADER_BYTES
        status = 0
        try:
            self.writer.write(head.encode())
            first, _, _ = await asyncio.wait_for(read_message(self.reader), 4)
            status = int(first.split(" ")[1])
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            self.deployment.record("consumer", self.name, "got", repr(error))
        self.deployment.record("consumer", self.name, "request", self.count, "head of", len(head), "bytes ->", status)
        return status


async def case(deployment, trouble):
    async def answer(call):
        await call.reply(200, b"done")

    await deployment.add_runner(Runner("model-0", "model", answer))
    await deployment.add_runner(Runner("tools-0", "tools", answer))
    await deployment.launch()
    state = config(1, [route("call", "/call/", "unsafe", "tools")])
    state["Limits"]["MaxHeaderBytes"] = MAX_HEADER_BYTES
    if await deployment.put(state) != 200:
        raise Unable("the desired state was not acknowledged")
    await deployment.until_ready()
    await asyncio.sleep(STABLE_WINDOW_S)
    entry = deployment.of("front")[0]

    # The desired state allows such requests, and they are served.
    probe = Channel(deployment, "probe")
    await probe.open(entry)
    if await probe.send(PARTS) != 200:
        raise Unable("a request within the limits was not served before the trouble")

    async def consume(number):
        channel = Channel(deployment, f"c{number}")
        until = time.monotonic() + 10
        while True:
            try:
                await channel.open(entry)
                if await channel.send(1) == 200:
                    return channel
            except OSError:
                pass
            if time.monotonic() > until:
                raise Unable("the entry did not come back")
            await asyncio.sleep(0.02)

    if trouble:
        for node in deployment.nodes:
            deployment.signal(node, signal.SIGKILL)
        for node in deployment.nodes:
            node.child.wait()
            asyncio.get_running_loop().call_later(RESTART_S, deployment.restart, node)
    channels = await asyncio.gather(*(consume(number) for number in range(CONSUMERS)))
    await asyncio.sleep(2 * STABLE_WINDOW_S + 1.0)
    await deployment.until_ready()

    # In touch again for longer than the window. Each consumer goes on with its channel.
    statuses = []
    for channel in channels:
        for parts in (1, PARTS):
            status = await channel.send(parts)
            statuses.append(status)
            if status != 200:
                break
    denied = sum(1 for status in statuses if 300 <= status < 500 and status not in (408, 421, 429))
    allowed = ALLOWED[0] + deployment_requests(channels) / ALLOWED[1]
    deployment.record("statuses", statuses, "denied", denied, "allowed", allowed)
    if denied > allowed:
        return [f"DENIED: {denied} of {deployment_requests(channels)} requests that the desired state allows were "
                f"answered with a 4xx of the entry's own, statuses {sorted(set(statuses))}; at most {allowed:.1f} may be"]
    return []


def deployment_requests(channels):
    return 1 + sum(channel.count for channel in channels)


run(case, HERE)
