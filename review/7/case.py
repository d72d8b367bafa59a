"""Replica leaves without a report while the reader of the list stands still."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import DRAIN_S, Client, main, route  # noqa: E402

SERVICE = "ledger"
N_INSTANCES = 6
# Clients of each instance, by what they send.
METHODS = 12 * ("POST",) + 2 * ("GET",)
BOOK_S, READ_S = 0.8, 0.02
# By then the instances know one another, and no start was in the last 4 s.
CALM_S = 8.0
# The replacement starts first, then the old replica leaves.
NEW_ONE_FIRST_S = 0.15
FROZEN_S = 5.0
LEAVES_AFTER_S = 0.1
# The replica serves for ``DrainMs`` after its entry was removed and so much longer.
LONGER_S = 0.5


async def play(world, has_trouble):
    """Return what was broken."""
    world.work_s = lambda _, request: BOOK_S if is_booking(request.start) else READ_S
    for number in range(3):
        await world.add_replica(f"i-{number}", SERVICE, n_slots=32)
    routes = [
        route("book", "/book/", SERVICE),
        route("read", "/read/", SERVICE, kind="idempotent", target_ms=200),
    ]
    await world.start(N_INSTANCES * ("a",), routes, [SERVICE])
    ends = asyncio.Event()
    callers = [
        asyncio.ensure_future(call(Client(instance, world), method, ends))
        for instance in world.instances
        for method in METHODS
    ]
    await asyncio.sleep(CALM_S)
    await world.add_replica("i-3", SERVICE, n_slots=32, warm_up_ms=3000)
    await asyncio.sleep(NEW_ONE_FIRST_S)
    reader = max(world.instances, key=lambda item: item.store_proxy.read_replicas_s)
    if has_trouble:
        reader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = world.replicas["i-1"]
    leaver.leave_silently()
    left_s = world.now_s()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaver.exit()
    await asyncio.sleep(FROZEN_S - LEAVES_AFTER_S - DRAIN_S - LONGER_S)
    if has_trouble:
        reader.send_signal(signal.SIGCONT)
    await asyncio.sleep(1.0)
    ends.set()
    await asyncio.gather(*callers)
    return judge(world, leaver, left_s, reader)


def is_booking(request_line):
    """Return whether a request may run once only."""
    return request_line.startswith("POST")


async def call(client, method, ends):
    """Send one request after the other; those with POST may run once only."""
    path, body = ("/book/", b"hold 7") if method == "POST" else ("/read/", b"")
    number = 0
    while not ends.is_set():
        number += 1
        await client.send(f"{path}{number}", method=method, body=body)
        await asyncio.sleep(0.02)


def judge(world, leaver, left_s, reader):
    """Return the requests that reached the leaver too late, by instance.

    Machines that have not stood still are in touch: nothing else was disturbed.
    """
    broken = []
    for instance in world.instances:
        if instance is reader:
            continue
        late = []
        for name, item in world.answers.values():
            runs = world.runs.get(item.request_id, ())
            reached = [run for run in runs if run[1] == leaver.name]
            if name == instance.name and item.sent_s > left_s + DRAIN_S and reached:
                late.append((item, is_booking(reached[0][2])))
        lost = [item for item, is_once in late if is_once and item.status != 200]
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests, sent up to "
                f"{late[-1][0].sent_s - left_s:.2f} s after the store had acknowledged "
                f"that {leaver.name} is gone, reached it from {instance.name}; "
                f"{len(lost)} of them, which may run once only, got no success"
            )
    return broken


if __name__ == "__main__":
    main(play, FOLDER)
