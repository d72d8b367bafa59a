"""Replica leaves while one instance gets no answer from the store."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import DRAIN_S, Client, main, route  # noqa: E402

SERVICE = "ledger"
N_CLIENTS = 6
# Work of a request that may run once only, and of one that may be repeated.
BOOK_S, READ_S = 0.5, 0.05
CALM_S = 6.0
# The store answers one instance nothing for so long; the site file has 9 s.
SILENT_S = 8.0
# The replacement starts first, then the old replica leaves.
NEW_ONE_FIRST_S = 0.7
LEAVES_AFTER_S = 0.3
# The replica serves for ``DrainMs`` after its notice was stored and so much longer.
LONGER_S = 2.0


async def play(world, has_trouble):
    """Return what was broken."""
    world.work_s = lambda _, request: BOOK_S if is_booking(request.start) else READ_S
    for number, zone in enumerate(("b", "a", "c")):
        await world.add_replica(f"i-{number}", SERVICE, zone=zone, n_slots=16)
    routes = [
        route("book", "/book/", SERVICE),
        route("read", "/read/", SERVICE, kind="idempotent", target_ms=200),
    ]
    await world.start(("a", "a", "a"), routes, [SERVICE])
    ends = asyncio.Event()
    callers = [
        asyncio.ensure_future(call(Client(instance, world), method, ends))
        for instance in world.instances
        for method in N_CLIENTS * ("POST", "GET")
    ]
    await asyncio.sleep(CALM_S)
    await world.add_replica("i-3", SERVICE, zone="a", n_slots=16, warm_up_ms=3000)
    await asyncio.sleep(NEW_ONE_FIRST_S)
    cut = world.instances[0]
    if has_trouble:
        cut.store_proxy.set_silent(True)
        world.note("store is silent", instance=cut.name)
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = world.replicas["i-1"]
    leaver.leave()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaver.exit()
    await asyncio.sleep(SILENT_S - LEAVES_AFTER_S - DRAIN_S - LONGER_S)
    cut.store_proxy.set_silent(False)
    world.note("store answers again", instance=cut.name)
    await asyncio.sleep(1.0)
    ends.set()
    await asyncio.gather(*callers)
    return judge(world, leaver)


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
        await asyncio.sleep(0.05)


def judge(world, leaver):
    """Return the requests that reached the leaver too late, by instance."""
    broken = []
    for instance in world.instances:
        own = [item for name, item in world.answers.values() if name == instance.name]
        passed_on = [
            item.ended_s
            for item in own
            if item.headers.get("server-leaving") == "1"
            and f".{leaver.name}." in item.headers.get("x-server-stamp", "")
        ]
        if not passed_on:
            continue
        latest_s = min(passed_on) + DRAIN_S
        late = [
            item
            for item in own
            if item.sent_s > latest_s
            and any(
                run[1] == leaver.name for run in world.runs.get(item.request_id, ())
            )
        ]
        lost = [
            item
            for item in late
            if item.status != 200
            and any(is_booking(run[2]) for run in world.runs[item.request_id])
        ]
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests, sent up to "
                f"{late[-1].sent_s - latest_s + DRAIN_S:.2f} s after {instance.name} "
                f"passed on Server-Leaving, ran at {leaver.name}; {len(lost)} of them, "
                "which may run once only, were not answered with success"
            )
    return broken


if __name__ == "__main__":
    main(play, FOLDER)
