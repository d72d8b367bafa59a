"""Answers of which one bit of the status line is wrong."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import forward_route, has_trouble, run_case
from standins.http import ClientConnection

SEED = 3
N_INSTANCES = 2
N_REPLICAS = 6
# Replicas that spoil answers, and the share of their answers.
N_FAULTY = 2
SPOILED_RATIO = 0.02
# Length of one disruption and the time from one to the next.
TROUBLE_S, TROUBLE_EVERY_S = 5.5, 6.0
DURATION_S = 60.0
N_CLIENTS_PER_INSTANCE = 4
PAUSE_S = 0.03
TIMEOUT_MS = 1000
DEADLINE_MS = 3000
# The route's time, and how much later each request has to have its final answer.
OVERTIME_MS = 500
N_UNANSWERED_MIN = 8
# Bit of the first digit of the status that is wrong: "2" becomes "0".
FLIPPED_BIT = 0x02
STATUS_AT = len("HTTP/1.1 ")


async def play(deployment):
    random = Random(SEED)
    loop = asyncio.get_running_loop()
    for number in range(N_REPLICAS):
        await deployment.add_replica(f"i-{number}", "booking-ledger", n_slots=4)
    route = forward_route("fetch", "booking-ledger", "idempotent", TimeoutMs=TIMEOUT_MS)
    deployment.configure(1, [route])
    await deployment.start_instances(N_INSTANCES)
    started_s = loop.time()

    def spoil(replica, request, answer):
        is_due = (loop.time() - started_s) % TROUBLE_EVERY_S < TROUBLE_S
        if not is_due or random.random() >= SPOILED_RATIO:
            return None
        request_id = request.headers.get("x-request-id")
        spoiled = bytearray(answer)
        spoiled[STATUS_AT] ^= FLIPPED_BIT
        deployment.record.add("spoiled", request_id, replica.name)
        return bytes(spoiled)

    if has_trouble():
        for replica in deployment.replicas[:N_FAULTY]:
            replica.spoil = spoil
    clients = [
        run_fetches(deployment, instance, started_s + DURATION_S, random)
        for instance in deployment.instances
        for _ in range(N_CLIENTS_PER_INSTANCE)
    ]
    await asyncio.gather(*clients)
    return find_breaches(deployment.record)


async def run_fetches(deployment, instance, ends_at_s, random):
    """Send fetches on a kept connection until the end."""
    connection = ClientConnection(instance.addresses["Front"])
    loop = asyncio.get_running_loop()
    n_sent = 0
    while loop.time() < ends_at_s:
        n_sent += 1
        target = f"/fetch/{id(connection):x}/{n_sent}"
        await deployment.send(connection, "GET", target, b"", DEADLINE_MS)
        await asyncio.sleep(random.uniform(0.0, 2.0 * PAUSE_S))
    connection.close()


def find_breaches(record):
    """Return the requests without an answer long after the time of their route.

    They break the rule if they are eight or more, and over half of those that are
    still unanswered at that time.
    """
    sent_ms = {event[2]: event[0] for event in record.of_kind("sent")}
    n_late, unanswered = 0, []
    for event in record.of_kind("answered"):
        now_ms, _, request_id, status = event[:4]
        elapsed_ms = now_ms - sent_ms[request_id]
        n_late += elapsed_ms > TIMEOUT_MS
        if elapsed_ms > TIMEOUT_MS + OVERTIME_MS:
            unanswered.append(
                f"CONFIG: {request_id} has no answer {elapsed_ms:.0f} ms after it was "
                f"sent, its route's time is {TIMEOUT_MS} ms (final status {status})"
            )
    print(
        f"{len(sent_ms)} sent, {len(record.of_kind('spoiled'))} spoiled answers, "
        f"{n_late} unanswered at the route's time, {len(unanswered)} also "
        f"{OVERTIME_MS} ms later"
    )
    print(Counter(event[3] for event in record.of_kind("answered")))
    is_broken = len(unanswered) >= max(N_UNANSWERED_MIN, n_late / 2.0)
    return unanswered if is_broken else []


run_case(__file__, play)
